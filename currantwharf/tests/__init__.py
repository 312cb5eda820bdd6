"""Tests of whole instances, and the fakes and builders that all tests share."""

import logging

logging.getLogger("currantwharf").addHandler(logging.NullHandler())
logging.getLogger("currantwharf").propagate = False
