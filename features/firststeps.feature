Feature: A first step that reaches the engine late does not run again
  A call on a connection that went silent is asked for again, and may
  arrive when its session has ended.

  Background:
    Given an engine behind a relay and a driver that calls it
    And a first step that was asked for again on another connection

  Scenario: The silent connection goes on after the session's end
    When its session ends and the first connection goes on
    Then the engine began the session once in each of 1 epochs
    And it holds no session in the end

  Scenario: The silent connection is cut after the session's end
    When its session ends and the first connection is cut
    Then it holds no session in the end
    And the engine began the session once in each of 1 epochs

  Scenario: The session's next epoch ran in between
    Given its session's next epoch has run
    When its session ends and the first connection goes on
    Then the engine began the session once in each of 2 epochs
    And it holds no session in the end
