Feature: Callers get complete answers or a true outcome under failure
  Runs real processes with a relay on every hop. Guards against lost tokens,
  work that runs twice and requests that are never released when a
  connection, process or store fails.

  Background:
    Given the deployment with relays is whole

  Scenario Outline: Connections that go silent cost no token
    Given the engines take 20 ms a step
    When a caller streams 30 tokens and the <hop> connections go silent <how>
    Then the stream is the reference answer within 12 s of the failure

    Examples:
      | hop          | how          |
      | entry-agent  | forward      |
      | entry-agent  | backward     |
      | agent-agent  | both         |
      | agent-agent  | both, also new |
      | agent-engine | both         |
      | agent-engine | both, also new |

  Scenario: An engine that hangs is told from one that is slow
    Given the engines take 20 ms a step
    When a caller streams 30 tokens and the middle engine hangs
    Then the stream is the reference answer within 12 s of the failure

  Scenario: A stream that is slow but alive is not cut
    Given the engines of the last stage take 1500 ms a step
    When a caller streams 5 tokens
    Then the stream is the reference answer
    And it ran in one epoch over one chain

  Scenario: A caller sees signs of life while a token is long in coming
    Given the engines of the last stage take 1500 ms a step
    When a caller reads a raw stream of 3 tokens
    Then no pause in the raw stream is longer than 1.2 s

  Scenario: A silent watch does not keep a new configuration away
    When the entry-store connections go silent
    And the operators refuse a team's completions
    Then every entry refuses that team within 8 s

  Scenario Outline: A stage that is killed in mid-stream costs no token
    Given the engines take 20 ms a step
    When a caller streams 30 tokens and the <stage> agent is killed
    Then the stream is the reference answer within 12 s of the failure

    Examples:
      | stage  |
      | head   |
      | middle |
      | last   |

  Scenario: A caller that falls silent in a stream holds nothing for ever
    Given the engines take 20 ms a step
    And completions have 3 s
    When a caller whose connection has worked falls silent in a stream
    Then the entry settles the request as "deadline" and holds none
    And no agent comes to have a session any more

  Scenario: A caller that falls silent within a request holds nothing
    When a caller whose connection has worked sends half a request
    Then the entry closes that connection and holds no request

  Scenario: An entry that dies leaves its callers' keys with their answers
    Given the engines take 20 ms a step
    And the services take 1.5 s a call
    When entry 0 is killed with a keyed order and a keyed stream in flight
    And both are repeated at once through entry 1
    Then the repeats are complete and each key ran once

  Scenario Outline: A caller that goes away frees every stage
    Given the engines take 20 ms a step
    When a caller of a long <answer> goes away
    Then no agent comes to have a session any more
    And each engine ran at most the 16 steps that fit into a second

    Examples:
      | answer                 |
      | stream                 |
      | answer in one piece    |

  Scenario: A caller that goes away frees its call of a service
    Given the services take 60.0 s a call
    When a caller of a service goes away
    Then the service's agent has ended the call as cancelled

  Scenario Outline: A service that goes silent runs no order twice
    Given the service of orders has answered
    When it <fault>
    Then an order is unknown at its deadline, and so is each repeat
    When it is well again
    Then a last repeat is unknown too and the order ran <runs> times
    And a new order is complete and ran once

    Examples:
      | fault                            | runs |
      | takes calls and never answers    | 0    |
      | runs calls and its answers stall | 1    |

  Scenario Outline: A service that goes silent costs a repeatable call its time
    Given the service of playlists has answered
    When it <fault>
    Then a call is unknown at its deadline
    When it is well again
    Then calls are complete at once

    Examples:
      | fault                            |
      | takes calls and never answers    |
      | runs calls and its answers stall |

  Scenario Outline: A planned stop cuts nothing in flight
    Given the engines take 20 ms a step
    When the <role> is told to stop with 4 streams of 25 tokens in flight
    Then all of these streams are the reference answers
    And the <role> ended with exit code 0
    And each of these streams ran over one chain

    Examples:
      | role         |
      | entry        |
      | head agent   |
      | middle agent |
      | last agent   |

  Scenario Outline: A leaving endpoint gets no new work, whatever the platform says
    Given the engines take 20 ms a step
    When the store is down and the host list shows no change
    And the <stage> agent of a long stream is told to stop
    Then 2 s later no new request runs at its engine
    And the stream is the reference answer

    Examples:
      | stage  |
      | head   |
      | middle |
      | last   |

  Scenario: A leaving service gets no new call, whatever the platform says
    Given the services take 3.0 s a call
    When the store is down and the host list shows no change
    And the agent of a service is told to stop with a call in flight
    Then 2 s later no new call runs at its service
    And the call in flight is complete

  Scenario: A leaving entry gets no new work, whatever the platform says
    Given the engines take 20 ms a step
    When the store is down and the host list shows no change
    And the entry of a long stream is told to stop
    Then it is not ready, and 2 s later no new request of it runs
    And the stream is the reference answer

  Scenario Outline: A process that is paused and goes on doubles nothing
    Given the engines take 20 ms a step
    And the services take 0.5 s a call
    When the <role> is paused for 3 s with requests and repeats in flight
    Then each of these answers is right or honest about what ran
    And a last repeat of each key is honest and no key ran twice

    Examples:
      | role          |
      | entry         |
      | head agent    |
      | middle agent  |
      | middle engine |
      | store         |

  Scenario: While the store is away only new keys wait
    When the store is down and the host list shows no change
    Then a completion is complete
    And a new order is refused as "not-run" for "store-unavailable"
    When the store is back
    Then that order is complete in time and ran once

  Scenario Outline: A store that is slow or loses answers doubles no order
    When the store is told to <fault>
    Then a new order is complete and ran once, also when repeated

    Examples:
      | fault           |
      | answer late     |
      | lose 3 answers  |

  Scenario: A stream that cannot be finished looks unfinished
    Given the engines take 20 ms a step
    When all agents of the last stage are killed in mid-stream
    Then the stream ends with an error event and without an end mark
