Feature: Callers get whole answers or an honest outcome under failure
  Real processes, with relays on every hop between them.

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
    And the operators refuse a member's completions
    Then every entry refuses that member within 8 s

  Scenario Outline: A stage that is killed in mid-stream costs no token
    Given the engines take 20 ms a step
    When a caller streams 30 tokens and the <stage> agent is killed
    Then the stream is the reference answer within 12 s of the failure

    Examples:
      | stage  |
      | head   |
      | middle |
      | last   |
