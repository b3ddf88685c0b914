Feature: A small deployment of real processes
  Guards against wrong tokens, repeated orders and malformed requests that
  reach an endpoint.

  Background:
    Given the small deployment runs

  Scenario: A streamed completion is the reference answer
    When a team streams a completion of 24 tokens from entry 0
    Then the caller gets the reference tokens and the end mark
    And each stage ran each position of it once

  Scenario: The OpenAI client completes a stream
    When the OpenAI client streams a chat of 12 tokens from entry 1
    Then the client gets the reference tokens of its chat

  Scenario: A repeated order gets the first answer and runs once
    When a team sends an order to entry 0 and again to entry 2
    Then both callers get the same answer and the order ran once

  Scenario Outline: A malformed request is refused and nothing of it runs
    When a caller sends a request with <fault>
    Then it is refused with status <status> and outcome "not-run"
    And the endpoints recorded no new run

    Examples:
      | fault                        | status |
      | a body that is not JSON      | 400    |
      | a field of the wrong type    | 400    |
      | no prompt                    | 400    |
      | an unknown key               | 401    |
      | no key                       | 401    |
      | an unknown model             | 404    |
      | an unknown path              | 404    |
      | a body over the limit        | 413    |
      | a spaced idempotency key     | 400    |

  Scenario: A header over the limit is refused and nothing runs
    When a caller sends a request with a header over the limit
    Then it is refused with a 4xx status
    And the endpoints recorded no new run

  Scenario: While an engine is away no new request goes to its agent
    When engine "copy-7b-8-0" is killed and entry 0 knows
    Then 40 completions from entry 0 are all whole
    And engine "copy-7b-8-0" serves again after a restart
