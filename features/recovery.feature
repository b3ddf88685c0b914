Feature: Streams survive the death of a stage
  After a stage fails, only the lost positions run again, and the caller
  gets each token exactly once.

  Scenario Outline: A stage dies in the midst of streams
    Given 3 agents of 4 layers each
    And a spare agent for each of them
    And each engine step takes 0.01 s
    When 4 recoverable requests for 40 tokens have 8 tokens each
    And the <part> of stage <lost> dies
    Then each recoverable request gets exactly the model's tokens
    And the engines of the other stages ran each position once
    And the spare engine of stage <lost> ran each position once

    Examples:
      | part   | lost |
      | agent  | 1    |
      | agent  | 2    |
      | agent  | 3    |
      | engine | 1    |
      | engine | 2    |
      | engine | 3    |

  Scenario Outline: Several stages die
    Given 3 agents of 4 layers each
    And a spare agent for each of them
    And each engine step takes 0.01 s
    When 3 recoverable requests for 40 tokens have 6 tokens each
    And the agent of stage <one> dies
    And <pause>
    And the agent of stage <other> dies
    Then each recoverable request gets exactly the model's tokens

    Examples:
      | one | other | pause                  |
      | 2   | 3     | each has 6 tokens more |
      | 2   | 1     | each has 6 tokens more |
      | 2   | 3     | nothing is waited for  |
      | 1   | 3     | nothing is waited for  |

  Scenario: A stage whose activations were given up runs its layers again
    Given 3 agents of 4 layers each
    And a spare agent for each of them
    And each engine step takes 0.01 s
    And the first two agents keep at most 64 bytes of activations
    When 3 recoverable requests for 30 tokens have 6 tokens each
    And the agent of stage 3 dies
    Then each recoverable request gets exactly the model's tokens
    And the first two agents have counted "run-again"

  Scenario: Frames of a stage that was replaced change nothing
    Given 3 agents of 4 layers each
    And a spare agent for each of them
    And each engine step takes 0.01 s
    When 1 recoverable requests for 40 tokens have 6 tokens each
    And the agent of stage 2 dies
    And each has 4 tokens more
    And a step and a token of the first epoch come late
    Then each recoverable request gets exactly the model's tokens
    And they were counted as "stale-step" and "stale-token"

  Scenario Outline: A stage that is ahead of a new head goes back
    Given 3 agents of 4 layers each
    And a spare agent for each of them
    And each engine step takes 0.01 s
    And a last stage remembers <kept> tokens
    When 3 recoverable requests for 90 tokens have 30 tokens each
    And <dead> with the last <lost> tokens of each
    Then each recoverable request gets exactly the model's tokens
    And each engine of stage <back> went back in every request

    Examples:
      | dead                       | lost | kept | back |
      | the agent of stage 1 dies  | 20   | 4    | 2    |
      | the agent of stage 1 dies  | 20   | 4    | 3    |
      | those of stages 1, 3 die   | 2    | 64   | 2    |

  Scenario: A claimed request outlives a later stage and runs once
    Given 3 agents of 4 layers each
    And a spare agent for each of them
    And each engine step takes 0.01 s
    When a claimed recoverable request for 40 tokens has 6 tokens
    And the agent of stage 2 dies
    Then each recoverable request gets exactly the model's tokens
    And the engines of the other stages ran each position once

  Scenario: Nobody asks for a held run
    Given 3 agents of 4 layers each
    And holding lasts 0.5 s
    When a request for 900 tokens runs over a stage that dies
    Then the first agent ends it and frees its engine

  Scenario: A stage of real processes that was only paused changes nothing
    Given a small deployment of processes with streams of 300 tokens
    When the agent of a middle stage is paused until the streams have ended
    Then each stream got exactly the model's tokens
    When the paused agent goes on
    Then it frees what it held and has answered no stream twice
