"""Clients of plain services and tool services."""

from fireflyspread.tools._http import HttpService
from fireflyspread.tools._service import Service, ServiceAnswer, ServiceRequest

__all__ = ["HttpService", "Service", "ServiceAnswer", "ServiceRequest"]
