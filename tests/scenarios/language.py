"""Parser of scenario files; every error gives its line and column."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

import attrs
from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedInput

from tests.scenarios.actions import actions_by_verb
from tests.scenarios.checkers import checkers_by_property
from tests.scenarios.measures import measures_by_name
from tests.scenarios.traffic import traffic_kinds_by_name

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

__all__ = [
    "PART_KINDS",
    "Action",
    "At",
    "Event",
    "Every",
    "Expectation",
    "Named",
    "Scenario",
    "ScenarioError",
    "Send",
    "Some",
    "When",
    "parse",
    "read",
]

GRAMMAR_FILE = Path(__file__).with_name("scenario.lark")
HEADER_NAMES = ("name", "tab", "property")
PART_KINDS = frozenset({"zone", "node", "engine", "service"})
"""Kinds of the parts of a fleet that a scenario starts and acts on."""

COUNTERS = frozenset({"answers", "tokens", "bookings", "revisions"})
"""Counters of a run that triggers can wait for."""

PLATFORM_SERVICES = frozenset({"log", "vm-list"})


class ScenarioError(Exception):
    """An error in a scenario file, with its line and column."""

    def __init__(self, *, source: str, line: int, column: int, detail: str):
        super().__init__(f"{source}:{line}:{column}: {detail}")
        self.line = line
        self.column = column
        self.detail = detail


@attrs.frozen(kw_only=True)
class Send:
    """Concurrent callers that send one kind of traffic for a given time."""

    kind: str
    callers: int
    for_s: float
    options: dict[str, Any]


@attrs.frozen(kw_only=True)
class At:
    """A trigger at a random time between two bounds, determined by the seed."""

    first_s: float
    last_s: float


@attrs.frozen(kw_only=True)
class When:
    """A trigger that fires when a counter reaches a value."""

    count: int
    counter: str


@attrs.frozen(kw_only=True)
class Some:
    """A number of parts of a kind, selected at random with the seed."""

    count: int
    kind: str


@attrs.frozen(kw_only=True)
class Every:
    """All parts of a kind."""

    kind: str


@attrs.frozen(kw_only=True)
class Named:
    """One part by its name, or the parts that an earlier action gave an alias."""

    name: str


@attrs.frozen(kw_only=True)
class Action:
    """An operation, the parts that it targets, and its duration."""

    verb: str
    target: Some | Every | Named
    alias: str
    for_s: float | None
    options: dict[str, Any]


@attrs.frozen(kw_only=True)
class Event:
    """An action with its trigger."""

    trigger: At | When
    action: Action
    line: int


@attrs.frozen(kw_only=True)
class Expectation:
    """An upper or lower bound on a measure of the run."""

    measure: str
    at_least: bool
    amount: float
    """A fraction of 1 if the file gives a percentage, otherwise a count."""

    @property
    def text(self) -> str:
        """The expectation as a phrase for reports."""
        side = "at least" if self.at_least else "at most"
        return f"{self.measure} {side} {self.amount:g}"


@attrs.frozen(kw_only=True)
class Scenario:
    """The content of one scenario file."""

    name: str
    tab: str
    property_name: str
    counts_by_kind: dict[str, int]
    start_options: dict[str, Any]
    sends: tuple[Send, ...]
    events: tuple[Event, ...]
    expectations: tuple[Expectation, ...]
    held_properties: tuple[str, ...]


builders_by_rule: dict[str, Callable[[Any, Tree[Token]], Any]] = {}


def _builder_for(rule: str) -> Callable[[Any], Any]:
    """Register a function that builds the object of a grammar rule."""

    def register(function: Any) -> Any:
        builders_by_rule[rule] = function
        return function

    return register


@attrs.frozen(kw_only=True)
class _Source:
    """The source that is parsed, named in errors."""

    name: str

    def error_at(self, token: Token, detail: str) -> ScenarioError:
        """Return an error with the position of a token."""
        return ScenarioError(
            source=self.name,
            line=token.line or 0,
            column=token.column or 0,
            detail=detail,
        )

    def require_known(self, token: Token, known: Collection[str], category: str) -> str:
        """Return the text of a token that must be one of the known words.

        Raises:
            ScenarioError: The word is unknown.
        """
        if str(token) not in known:
            choices = ", ".join(sorted(known))
            raise self.error_at(token, f"unknown {category} {token}; known: {choices}")
        return str(token)

    def build(self, tree: Tree[Token]) -> Any:
        """Build the object of a tree with the builder of its rule."""
        return builders_by_rule[tree.data](self, tree)


def _seconds(token: Token) -> float:
    return float(token.removesuffix("s"))


def _value(token: Token) -> Any:
    if token.type == "INT":
        return int(token)
    if token.type == "DECIMAL":
        return float(token)
    return {"true": True, "false": False}.get(str(token), str(token))


def _options(tree: Tree[Token] | None) -> dict[str, Any]:
    if tree is None:
        return {}
    return {
        str(option.children[0]): _value(option.children[1]) for option in tree.children
    }


@_builder_for("start")
def _build_start(source: _Source, tree: Tree[Token]) -> Any:
    *counts, options = tree.children
    counts_by_kind = {}
    for count in counts:
        number, kind = count.children
        singular = str(kind).removesuffix("s")
        source.require_known(
            Token.new_borrow_pos("NAME", singular, kind), PART_KINDS, "part"
        )
        counts_by_kind[singular] = int(number)
    return counts_by_kind, _options(options)


@_builder_for("send")
def _build_send(source: _Source, tree: Tree[Token]) -> Send:
    kind, callers, duration, options = tree.children
    name = source.require_known(kind, traffic_kinds_by_name, "traffic")
    for option in options.children if options else ():
        source.require_known(
            option.children[0], traffic_kinds_by_name[name].options, "option"
        )
    return Send(
        kind=name,
        callers=int(callers),
        for_s=_seconds(duration),
        options=_options(options),
    )


@_builder_for("at")
def _build_at(source: _Source, tree: Tree[Token]) -> At:
    first, last = tree.children
    first_s = _seconds(first)
    last_s = first_s if last is None else _seconds(last)
    if last_s < first_s:
        raise source.error_at(last, "the second time is before the first")
    return At(first_s=first_s, last_s=last_s)


@_builder_for("when")
def _build_when(source: _Source, tree: Tree[Token]) -> When:
    count, counter = tree.children
    return When(
        count=int(count), counter=source.require_known(counter, COUNTERS, "counter")
    )


@_builder_for("some")
def _build_some(source: _Source, tree: Tree[Token]) -> Some:
    number, kind = tree.children
    count = 1 if number.type == "ONE" else int(number)
    singular = str(kind) if count == 1 else str(kind).removesuffix("s")
    source.require_known(
        Token.new_borrow_pos("NAME", singular, kind), PART_KINDS, "part"
    )
    return Some(count=count, kind=singular)


@_builder_for("every")
def _build_every(source: _Source, tree: Tree[Token]) -> Every:
    return Every(kind=source.require_known(tree.children[0], PART_KINDS, "part"))


@_builder_for("named")
def _build_named(source: _Source, tree: Tree[Token]) -> Named:
    return Named(name=str(tree.children[0]))


@_builder_for("action")
def _build_action(source: _Source, tree: Tree[Token]) -> Action:
    verb, target, alias, duration, options = tree.children
    kind = actions_by_verb[source.require_known(verb, actions_by_verb, "action")]
    if options is not None and kind.options is not None:
        for option in options.children:
            source.require_known(option.children[0], kind.options, "option")
    return Action(
        verb=str(verb),
        target=source.build(target),
        alias=str(alias or ""),
        for_s=None if duration is None else _seconds(duration),
        options=_options(options),
    )


@_builder_for("event")
def _build_event(source: _Source, tree: Tree[Token]) -> Event:
    trigger, action = tree.children
    return Event(
        trigger=source.build(trigger),
        action=source.build(action),
        line=action.children[0].line,
    )


@_builder_for("expect")
def _build_expect(source: _Source, tree: Tree[Token]) -> Expectation:
    measure, side, amount = tree.children
    percent = amount.type == "NUMBER_PERCENT"
    return Expectation(
        measure=source.require_known(measure, measures_by_name, "measure"),
        at_least=side.type == "AT_LEAST",
        amount=float(amount.rstrip("%")) / 100 if percent else int(amount),
    )


@_builder_for("hold")
def _build_hold(source: _Source, tree: Tree[Token]) -> tuple[str, ...]:
    known = checkers_by_property.keys()
    return tuple(
        source.require_known(name, known, "property") for name in tree.children
    )


def _headers(source: _Source, trees: list[Tree[Token]]) -> dict[str, str]:
    values_by_name: dict[str, str] = {}
    for tree in trees:
        name, text = tree.children
        source.require_known(name, HEADER_NAMES, "header")
        values_by_name[str(name)] = str(text).strip()
    missing = [name for name in HEADER_NAMES if name not in values_by_name]
    if missing:
        raise source.error_at(trees[0].children[0], f"header {missing[0]} is missing")
    known = checkers_by_property.keys()
    property_token = next(
        tree.children[1] for tree in trees if tree.children[0] == "property"
    )
    stripped = Token.new_borrow_pos("TEXT", values_by_name["property"], property_token)
    source.require_known(stripped, known, "property")
    return values_by_name


def _check_names(source: _Source, scenario: Scenario, trees: list[Tree[Token]]) -> None:
    """Check that each ``the NAME`` refers to something that is defined before it.

    That is a part, a platform service or the alias of an earlier event.
    """
    known = set(PLATFORM_SERVICES)
    for kind, count in scenario.counts_by_kind.items():
        known.update(f"{kind}-{number}" for number in range(1, count + 1))
    for tree in trees:
        for named in tree.find_data("named"):
            source.require_known(named.children[0], known, "name")
        alias = next(tree.find_data("action")).children[2]
        if alias is not None:
            known.add(str(alias))


def _assemble(source: _Source, tree: Tree[Token]) -> Scenario:
    headers = [child for child in tree.children if child.data == "header"]
    values = _headers(source, headers)
    trees_by_rule: dict[str, list[Tree[Token]]] = {}
    for child in tree.children:
        trees_by_rule.setdefault(child.data, []).append(child)
    starts = trees_by_rule.get("start", [])
    if len(starts) != 1:
        position = headers[-1].children[0]
        raise source.error_at(position, "a scenario has exactly one start statement")
    counts_by_kind, options = source.build(starts[0])
    events = trees_by_rule.get("event", [])
    held_properties = [source.build(item) for item in trees_by_rule.get("hold", [])]
    scenario = Scenario(
        name=values["name"],
        tab=values["tab"],
        property_name=values["property"],
        counts_by_kind=counts_by_kind,
        start_options=options,
        sends=tuple(source.build(item) for item in trees_by_rule.get("send", [])),
        events=tuple(source.build(item) for item in events),
        expectations=tuple(
            source.build(item) for item in trees_by_rule.get("expect", [])
        ),
        held_properties=tuple(name for names in held_properties for name in names),
    )
    _check_names(source, scenario, events)
    return scenario


_parser = Lark(
    GRAMMAR_FILE.read_text(),
    start="scenario",
    parser="lalr",
    lexer="contextual",
    maybe_placeholders=True,
)

_TOKEN_DESCRIPTIONS = {
    "_NEWLINE": "end of line",
    "NAME": "a name",
    "INT": "a whole number",
    "DURATION": "a time such as 1.5s",
    "$END": "end of file",
}


def _describe(error: UnexpectedInput) -> str:
    expected = getattr(error, "accepts", None) or getattr(error, "expected", None)
    if isinstance(error, UnexpectedCharacters):
        expected = error.allowed
    names = sorted(expected or ())
    words = [
        _TOKEN_DESCRIPTIONS.get(name, name.lower().replace("_", " ")) for name in names
    ]
    return f"expected {' or '.join(words)}" if words else "invalid syntax"


def parse(text: str, *, source_name: str = "scenario") -> Scenario:
    """Parse a scenario.

    Args:
        text: Content of a scenario file.
        source_name: Name of the file, for errors.

    Returns:
        The scenario.

    Raises:
        ScenarioError: The text is not a valid scenario.
    """
    source = _Source(name=source_name)
    try:
        tree = _parser.parse(text.rstrip() + "\n")
    except UnexpectedEOF as error:
        line = text.count("\n") + 1
        raise ScenarioError(
            source=source_name, line=line, column=1, detail=_describe(error)
        ) from error
    except UnexpectedInput as error:
        raise ScenarioError(
            source=source_name,
            line=error.line,
            column=error.column,
            detail=_describe(error),
        ) from error
    return _assemble(source, tree)


def read(path: Path) -> Scenario:
    """Read and parse a scenario file."""
    return parse(path.read_text(), source_name=path.name)
