Feature: The entry settles each request's outcome

  Background:
    Given an entry with two agents that each hold the whole model

  Scenario: A stream is complete and says so
    When a caller streams a completion of 5 tokens from the entry
    Then the stream holds each of the 5 tokens once and its end mark
    And the entry reports the outcome "complete" to that team only

  Scenario Outline: A faulty request is refused and nothing runs
    When a caller posts <body> with key "<key>" as team "<team>"
    Then the entry answers <status> with the outcome "not-run"
    And no agent of the entry was sent anything

    Examples:
      | body         | key  | team  | status |
      | a completion |      | nobody  | 401    |
      | broken JSON  |      | diner   | 400    |
      | wrong types  |      | diner   | 400    |
      | no prompt    |      | diner   | 400    |
      | no tokens    |      | diner   | 400    |
      | 2 MiB        |      | diner   | 413    |
      | a completion | a b  | diner   | 400    |
      | other model  |      | diner   | 404    |
      | a completion |      | refused | 403    |

  Scenario: Duplicates and tokens of older epochs are dropped
    Given the agents send each token twice and under an older epoch
    When a caller streams a completion of 5 tokens from the entry
    Then the stream holds each of the 5 tokens once and its end mark
    And the entry has counted stale and duplicate tokens

  Scenario Outline: An attempt that fails is resumed elsewhere
    Given the first agent that is asked <fault> after 2 tokens
    When a caller streams a completion of 5 tokens from the entry
    Then the stream holds each of the 5 tokens once and its end mark
    And the other agent was asked to resume after 2 tokens

    Examples:
      | fault          |
      | drops its link |
      | fails          |
      | skips a token  |

  Scenario: A request that fails when the retry budget is spent ends at once
    Given the first agent that is asked fails after 0 tokens
    And the entry has spent its retry budget
    When a caller streams a completion of 5 tokens from the entry
    Then the entry answers 502 with the outcome "unknown"
    And the caller is told when to try again
    And the agents of the entry got 1 request in all

  Scenario: A stream that cannot be finished looks unfinished
    Given both agents fail after 2 tokens of a new request
    When a caller streams a completion of 5 tokens from the entry
    Then the stream ends with an error event and without its end mark

  Scenario: A non-idempotent completion that failed is not run again
    Given the first agent that is asked fails after 0 tokens
    When a caller asks for a completion under the key "order-1"
    Then the entry answers 502 with the outcome "unknown"
    And the agents of the entry got 1 request in all

  Scenario: After a lost link a key's only executor is asked again
    Given the first agent that is asked drops its link after 2 tokens
    When a caller asks for a completion under the key "order-6"
    Then both requests went to one agent with the same claim

  Scenario: An order whose answer is not kept is not run again
    Given the first agent that is asked has no answer any more after 0 tokens
    When a caller asks for a completion under the key "order-9"
    Then the entry answers 409 with the outcome "unknown"
    And the problem that the entry names is "answer-gone"
    And the agents of the entry got 1 request in all

  Scenario: A repeat under a key goes to the first executor
    When a caller asks for a completion under the key "order-2"
    And a caller asks for a completion under the key "order-2"
    Then both requests went to one agent with the same claim

  Scenario: A repeat to an executor that is leaving gets its answer
    When a caller asks for a completion under the key "order-7"
    And the executor of that key says that it is leaving
    And a caller asks for a completion under the key "order-7"
    Then both answers under the key are the same
    And the agents of the entry got 1 request in all

  Scenario: Only the executor's own word frees a key
    Given the first agent that is asked refuses without a seal after 0 tokens
    When a caller asks for a completion under the key "order-8"
    Then the key "order-8" is still bound
    Given the first agent that is asked seals after 0 tokens
    When a caller asks for a completion under the key "order-8"
    Then the entry answers 503 with the outcome "not-run"
    And the key "order-8" is bound no more

  Scenario: A key names one request
    When a caller calls the service under the key "order-3" with "one"
    And a caller calls the service under the key "order-3" with "two"
    Then the entry answers 422 with the outcome "not-run"
    And the service was called 1 time

  Scenario: Nothing non-idempotent runs while the store is away
    Given the entry's store is away
    When a caller calls the service under the key "order-4" with "one"
    Then the entry answers 503 with the outcome "not-run"
    And the service was called 0 times

  Scenario: An executor that is gone leaves the outcome unknown
    When a caller calls the service under the key "order-5" with "one"
    And the service's agent is started anew
    And a caller calls the service under the key "order-5" with "one"
    Then the entry answers 502 with the outcome "unknown"
    And the service was called 1 time

  Scenario: Tokens reach the caller past the thread that waits for them
    When streams of 5 tokens are sent, each paused behind its second token
    Then each of these streams holds each token once and its end mark
    And the entry relayed tokens of them
    When whole completions of 5 tokens are asked for, paused in the same way
    Then each of these answers is the text of the 5 tokens
    And the entry relayed tokens of them

  Scenario: A caller that leaves cancels its request
    Given the agents stop after 2 tokens
    When a caller of the entry leaves in mid-stream
    Then the head is told to cancel the request

  Scenario: An agent that is leaving gets no new work
    When one agent of the entry says that it is leaving
    Then 4 further completions all go to the other agent

  Scenario: A planned stop finishes what is in flight
    When the entry is told to stop in mid-stream
    Then the stream holds each of the 5 tokens once and its end mark

  Scenario: Several keys of a team share one limit
    When a caller posts a completion with key "" as team "metered"
    Then the agents of the entry got 1 request in all
    When a caller posts a completion with key "" as team "metered-2"
    Then the entry answers 429 with the outcome "not-run"
    And the caller is told when to try again
    And the agents of the entry got 1 request in all

  Scenario: Tokens, times and drops show in the metrics
    Given the agents send each token twice and under an older epoch
    When a caller streams a completion of 5 tokens from the entry
    Then the entry's metrics come to show
      | name                                                      | value |
      | dunlintide_tokens_total                                   | 5     |
      | dunlintide_first_token_seconds_count                      | 1     |
      | dunlintide_request_seconds_count                          | 1     |
      | dunlintide_frames_dropped_total{reason="duplicate"}       | 4     |
      | dunlintide_frames_dropped_total{reason="stale-epoch"}     | 4     |

  Scenario: An answer that lacks only the word of its end is complete
    Given the first agent that is asked loses its link before the end after 9 tokens
    When a caller streams a completion of 5 tokens from the entry
    Then the stream holds each of the 5 tokens once and its end mark
    And the agents of the entry got 1 request in all

  Scenario: A service is not called when there is no room for its answer
    Given the entry has no room for answers
    When a caller calls the service under the key "order-7" with "one"
    Then the entry answers 503 with the outcome "not-run"
    And the service was called 0 times
    When the entry has room for answers again
    And a caller calls the service under the key "order-8" with "one"
    Then the service was called 1 time
    And the entry holds no answer any more

  Scenario: A thread that meets an unexpected error goes on
    Given reading the host list breaks unexpectedly 2 times
    When the service's agent is started anew
    Then the entry counts the errors of its thread "hosts"
    And 2 further calls of the service are answered

  Scenario: An error over an agent's frames costs one link, not the agent
    Given handling the first token at the entry breaks unexpectedly
    When a caller streams a completion of 5 tokens from the entry
    Then the stream holds each of the 5 tokens once and its end mark
    And the entry comes to have links to all agents

  Scenario: A caller's key shows nowhere, wherever the caller put it
    Given the logs of the entry's process are kept
    When a caller puts its key "secret-of-keyed" into every part of its requests
    And code of the entry logs the key by mistake
    Then neither logs, dump nor metrics of the entry have "secret-of-keyed"
    And no header that the service got has it
