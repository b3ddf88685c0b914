Feature: Detection and avoidance of slow engines
  A slow engine delays every stream whose chain includes it, but neither
  fails nor stalls, so failure detection does not find it.

  Scenario: Streams avoid slow engines while others have room
    Given a failure domain with 3 a100, 6 v100 and 7 l4
    When 2 in 5 of its engines turn 12 times slower
    And 8 usual streams arrive in it
    Then no layer that a sound engine holds runs on a slow one

  Scenario: A run is slow against usual ones
    Then a run of 0.09 s an event is slow where usual ones take 0.04 s
    And a run of 0.07 s an event is not slow where usual ones take 0.04 s
    And no run is slow while usual ones aren't known

  Scenario: Engines are asked by few entries and not often
    Given two entries that suspect the engines "x", "y" and "z" at 10.0
    Then the first entry asks "x", "y" and "z" at 10.0
    And it asks none of them again at 10.3
    When they tell it paces of 1.0, 5.0 and 1.0 at 10.05
    And the second entry hears of them at 10.1
    Then the second entry asks none of them at 10.2
    And both entries know "y" as slow at 10.5
    And only the first entry asks "y" again, at 11.0
    And nobody knows "y" as slow at 12.3

  Scenario: An engine that is sound again gets streams at once
    Given an entry that knows "y" as slow since 10.0
    When "y" tells a pace of 1.0 at 10.9
    Then it knows no engine as slow at 10.9

  Scenario: What other entries tell is not told on
    Given an entry that heard that "y" is slow at 10.0
    Then it tells other entries nothing at 10.1
    And it does not ask "y" again at 11.0
