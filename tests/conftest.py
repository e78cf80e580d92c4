"""Settings of property tests that name no number of examples themselves."""

from hypothesis import settings

from tests.effort import scale_examples

settings.register_profile("effort", max_examples=scale_examples(100))
settings.load_profile("effort")
