Feature: The agent beside an endpoint
  Fails if frames that are repeated, reordered or stale change an answer, if
  a step or a claimed request runs twice, if a failure is reported with the
  wrong outcome, or if an ended request keeps its slots and sessions.

  Scenario: Three stages answer what the whole model would
    Given 3 agents of 4 layers each
    When 12 requests for 9 tokens go to the head
    Then each request gets exactly the model's tokens and an end mark
    And each engine ran each position of each request once
    And all engines are free within 5 s

  Scenario: One stage holds the whole model
    Given 1 agents of 12 layers each
    When 3 requests for 5 tokens go to the head
    Then each request gets exactly the model's tokens and an end mark

  Scenario: A request that was cut goes on behind the tokens it has
    Given 3 agents of 4 layers each
    When a request for 8 tokens goes to the head with 3 of them resumed
    Then it gets exactly the other tokens and an end mark

  Scenario: Repeated, reordered and stale frames change nothing
    Given 3 agents of 4 layers each
    And each engine step takes 0.02 s
    When a request for 12 tokens runs while its steps come twice, late and of old epochs
    Then each request gets exactly the model's tokens and an end mark
    And the second agent has counted "duplicate-step", "stale-step" and "unknown-step"

  Scenario: Frames of other epochs and requests do not reach an answer
    Given 3 agents of 4 layers each
    And each engine step takes 0.02 s
    When two requests for 12 tokens run while their answers' frames come twice, late and crossed
    Then each request gets exactly the model's tokens and an end mark
    And the head has counted "duplicate-token", "stale-token" and "unknown-token"

  Scenario: A gap ends the epoch and not the answer's order
    Given 3 agents of 4 layers each
    And each engine step takes 0.05 s
    When a request for 50 tokens runs and a step beyond its next position comes
    Then its head says "gap" and that it may have run
    And all engines are free within 5 s

  Scenario: An engine that crashes fails only its own requests
    Given 3 agents of 4 layers each
    And each engine step takes 0.03 s
    When 2 requests for 60 tokens run over 3 agents and 1 only over the first
    And the second engine crashes
    Then the requests over it fail with "endpoint-failed" and may have run
    And the other request gets exactly its tokens
    When the second engine is back
    And 2 requests for 4 tokens go to the head
    Then each request gets exactly the model's tokens and an end mark

  Scenario: While its engine is away an agent refuses with not run
    Given 1 agents of 12 layers each
    When the first engine is gone and noticed
    And a request for 4 tokens goes to the head
    Then its head says "no-capacity" and that it did not run

  Scenario: A request whose next stage cannot be reached has not run
    Given 3 agents of 4 layers each
    When a claimed request comes whose next stage cannot be reached
    Then its head says "link-lost" and that it did not run
    And no engine ran anything

  Scenario: An engine that hangs fails its requests and serves again
    Given 1 agents of 12 layers each
    And each engine step takes 0.02 s
    When a request for 500 tokens runs and its engine hangs
    Then its head says "endpoint-failed" and that it may have run
    When the engine hangs no more
    And 2 requests for 4 tokens go to the head
    Then each request gets exactly the model's tokens and an end mark

  Scenario: A repeat gets the first answer and no second run
    Given 3 agents of 4 layers each
    And each engine step takes 0.02 s
    When a claimed request for 20 tokens loses its caller midway
    And it is repeated under another id
    Then the repeat gets exactly the model's tokens and an end mark
    And a later repeat gets the same answer
    And a repeat over a chain that is gone gets the same answer
    And a claim on it with another body is refused with "key-reused"
    And the engines ran the claimed request once

  Scenario: A claim that ran without an answer is told so
    Given 1 agents of 4 layers each
    When a claimed request for 20 tokens is done and its answer not kept
    Then its repeat fails with "answer-gone" as one that may have run

  Scenario: A caller that is gone frees every stage
    Given 3 agents of 4 layers each
    And each engine step takes 0.02 s
    When a request for 900 tokens runs and its caller's link is lost
    Then all engines are free within 20 s
    And each engine ran at most 48 steps after that

  Scenario: A cancelled request frees every stage
    Given 3 agents of 4 layers each
    And each engine step takes 0.02 s
    When a request for 900 tokens runs and is cancelled
    Then all engines are free within 5 s
    And each engine ran at most 16 steps after that

  Scenario: A drain finishes what is in flight and takes nothing new
    Given 3 agents of 4 layers each
    And each engine step takes 0.03 s
    When 4 requests for 30 tokens are running
    Then the head's calls take at most 2 steps, so all stages have work
    When the head is told to drain
    Then the caller hears that it leaves
    And a new request is refused with "leaving" and did not run
    And each request gets exactly the model's tokens and an end mark
    And the head ends by itself without a fault

  Scenario: An agent that cannot go on stops with a fault
    Given an agent process whose ticker fails
    Then the agent process ends with status 1

  Scenario: A plain service is called once for a claimed call
    Given an agent before a plain service
    When a claimed call is made twice
    Then both callers get the same echoed answer
    And the service ran one call, with the team and the key
    When the service is gone
    And a call is made
    Then the call fails with "endpoint-failed" and did not run

  Scenario Outline: An agent reads no more of <kind> than entries take
    Guards against an agent that keeps what never ends, for its link or for
    callers that repeat a call, until its machine has no memory.
    Given an agent before a service that answers with <kind> that never end
    When a call and a claimed call are made
    Then both fail with "<code>" within 8.0 s and may have run
    And the service has sent at most 64 MB for each
    And the agent has grown by at most 96 MB

    Examples:
      | kind                                 | code            |
      | a body that ends with the connection | too-large       |
      | chunks                               | too-large       |
      | small chunks                         | endpoint-failed |
      | header lines                         | endpoint-failed |

  Scenario: Calls whose callers have left hold up no other call
    Given an agent that makes 2 calls at a time to a service that is slow
    When 2 calls are made and cancelled while the service has them
    And the service is slow no more
    Then a later call is answered though the service has the first 2 still

  Scenario: A request that is given up in its first step holds its slot
    Given 1 agents of 12 layers each
    And the head's engine holds its calls
    When a request for 8 tokens is cancelled while its first step runs
    Then it holds its slot, and its team pays for the prompt
    When the head's engine answers its calls
    Then no slot is held
