"""Forecasts of run times; called by placement order, backfill and admission."""

__all__: list[str] = []
