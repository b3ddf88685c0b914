Feature: Fair queue at an endpoint
  Teams share an endpoint by weight, whatever load each of them sends, so
  that a flood from one team cannot starve another.

  Scenario: Two teams share by weight
    Given a fair queue
    And team "a" of weight 3 queues 200 requests of cost 1000
    And team "b" of weight 1 queues 200 requests of cost 1000
    When 160 requests are picked
    Then team "a" got from 114 to 126 of them

  Scenario: Many small requests gain a team nothing
    Given a fair queue
    And team "a" of weight 1 queues 240 requests of cost 100
    And team "b" of weight 1 queues 24 requests of cost 1000
    When requests of cost 20000 are picked
    Then each of teams "a" and "b" got from 8000 to 12000 of the cost

  Scenario: A low priority is served under a flood of a high one
    Given a fair queue
    And at 0 s team "b" queues 2 requests at priority 3
    And at 60 s team "a" queues 200 requests at priority 0
    When 20 requests are picked at 60 s
    Then team "b" got picks 0 and 8, and "a" all others

  Scenario: Refusal at once when the wait is longer than the deadline
    Given a fair queue
    And team "a" of weight 1 queues 100 requests of cost 1000
    When at 10000 a second "a" queues cost 1000 with 5 s left
    Then it is refused with "deadline" and told to wait from 10 to 11 s
    When at 10000 a second "b" queues cost 1000 with 5 s left
    Then it is queued

  Scenario: A team's queue is bounded and no other's
    Given a fair queue
    And team "a" of weight 1 queues 256 requests of cost 1
    When at 0 a second "a" queues cost 1 with 5 s left
    Then it is refused with "queue-full" and told to wait from 1 to 1 s
    When at 0 a second "b" queues cost 1 with 5 s left
    Then it is queued

  Scenario: Whatever is queued and removed, each request is picked once
    Then any order of pushes, removals and picks serves each request once
    And a queue that is empty again holds nothing of its teams

  Scenario: The cap follows the KV cache usage
    Given an adaptive cap of 40 with 40 requests in flight
    When usage 0.9 is reported twice
    Then the adaptive cap is 28
    When 20 requests are in flight and usage 0.9 is reported
    Then the adaptive cap is 19
    When 10 requests are in flight, 100 have finished and usage 0.3 is reported twice
    Then the adaptive cap is 23

  Scenario: The token budget lets one large request start alone
    Given a token budget of 100 requests before a cache of 1000 positions
    Then with 0 tokens in flight a request of 5000 may start
    And with 800 tokens in flight a request of 100 may start
    And with 800 tokens in flight a request of 101 may not start

  Scenario: The token budget starts small before an engine of unknown size
    Given a token budget of 100 requests before an engine of unknown size
    Then with 15 requests in flight another may start
    And with 16 requests in flight another may not start
    When the engine reports nothing of its size with 16 in flight
    Then with 31 requests in flight another may start
    And with 32 requests in flight another may not start
