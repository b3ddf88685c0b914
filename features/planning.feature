Feature: Planning of chains over layer ranges

  Scenario: The plan reaches what a brute-force bound allows
    Given small random fleets of layer ranges
    When each is planned
    Then each plan's bound equals the least cut found by trying all cuts
    And its chains tile the layers and their shares sum to the bound
    And no endpoint carries more than its capacity

  Scenario: A dead agent is never chosen
    Given a planned fleet of two endpoints for each of three ranges
    When an agent dies
    Then 200 choices tile the layers without it
    And a request that avoids the last other endpoint of its range is refused

  Scenario: A choice without a plan uses any live endpoints
    Given a planned fleet of two endpoints for each of three ranges
    When the plan is lost
    Then 200 choices tile the layers without it

  Scenario: Of two chains the one with less outstanding work is taken
    Given a planned fleet of two endpoints for each of three ranges
    When an agent reports 100 requests of other processes
    Then fewer than a third of 200 choices visit it
    And after a minute without a report choices visit it evenly again
