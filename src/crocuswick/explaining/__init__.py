"""Explains the outcome of a request from the logs of all nodes."""

from crocuswick.explaining.explanation import Explanation, explain_request
from crocuswick.explaining.log_line import LogLine, LogLines, read_log_lines

__all__ = ["Explanation", "LogLine", "LogLines", "explain_request", "read_log_lines"]
