Feature: Rules that decide requests
  The first rule whose conditions all hold decides. Errors in the document
  are reported with their position before it is applied.

  Scenario: The index finds the rule that the plain scan finds
    Then the index agrees with the scan for any rules and requests
    And a rule that covers another holds wherever the other does

  Scenario: Explaining names the first failed condition of earlier rules
    Given a rules document with these rules
      """
      {"name": "claims", "when": {"service": "orders"}, "then": {}},
      {"name": "long", "when": {"member": ["diner", "church"],
        "prompt_tokens_min": 100}, "then": {"weight": 2}},
      {"name": "rest", "when": {}, "then": {}}
      """
    Then team "diner" with 20 prompt tokens gets rule "rest" because "claims" fails on service and "long" on prompt_tokens_min
    And team "church" with 200 prompt tokens gets rule "long"
    And the canonical form of the rules document comes back unchanged

  Scenario Outline: A mistake in a rule is told with its place
    Given a rules document with these rules
      """
      {"name": "first", "when": {"path": "/v1/*"}, "then": {}},
      {"name": "second", "when": <when>, "then": <then>},
      {"name": "rest", "when": {}, "then": {}}
      """
    Then the rules document has the problem "<problem>"

    Examples:
      | when                    | then                  | problem |
      | {"member": "dinner"}    | {}                    | 7:39: error: rules[1].when.member[0]: unknown member "dinner", did you mean "diner"? |
      | {"member": 3}           | {}                    | 7:39: error: rules[1].when.member[0]: expected a string, got 3 |
      | {"path": "/a[b"}        | {}                    | expected a glob with "]" for each "[", got "/a[b" |
      | {"service": "orders"}   | {"model": "copy"}     | unknown model "copy", did you mean "copy-7b"? |
      | {"service": "orders"}   | {"rate": 0}           | rules[1].then.rate: expected a number above 0, got 0.0 |
      | {"service": "orders"}   | {"weight": -1}        | rules[1].then.weight: expected a number above 0, got -1.0 |
      | {"service": "orders"}   | {"wieght": 1}         | unknown field "wieght", did you mean "weight"? |
      | {"service": "orders"}   | {"action": "refuse", "rate": 1} | warning: rules[1].then.rate: has no effect in a rule that refuses |
      | {"service": "orders", "adapter": "promo"} | {}  | error: rules[1].when.adapter: a service request never satisfies this condition |
      | {"path": "/v1/chat/*", "member": "diner"} | {}  | 7:1: error: rules[1]: rule "second" is unreachable: rules[0] "first" |
      | {"member": "diner"}     | {"accelerators": "l4"} | endpoints with l4 cannot tile model "copy-7b": chains end at layer 8 of 24 |

  Scenario: What a team's key is never shows in a message
    Given a rules document whose team has the key hash "sk-secret-key"
    Then it is refused without showing "sk-secret-key"

  Scenario: A model whose ranges leave a gap is told
    Given a rules document with these rules
      """
      {"name": "rest", "when": {"member": "diner"}, "then": {}}
      """
    Then the rules document has the problem "no rule has an empty"
    And without the middle range the problem is "cannot tile layers 0 to 24: chains end at layer 8"
