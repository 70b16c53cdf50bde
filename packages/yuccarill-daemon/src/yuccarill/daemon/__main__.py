"""Run yuccarilld as `python -m yuccarill.daemon`."""

from __future__ import annotations

from yuccarill.daemon import launcher

launcher.main()
