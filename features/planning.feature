Feature: Planning of chains over layer ranges
  Guards against plans below the possible throughput and against choices of
  dead, slow or overloaded stages.

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

  Scenario: A slow stage loses its share within 5 s and gets it back
    Given modelled entries that learn capacities from late reports
    When the busiest stage falls to a tenth of its speed
    Then within 5 s no entry plans more than a fifth of its capacity for it
    And no other stage's share of its capacity is cut to half
    And within 30 s of its recovery it carries half of its capacity again

  Scenario: A slow link is told apart from a general rise of load
    Given token intervals of four chains over two links
    When all intervals become four times as long
    Then no link stays suspected
    When only those over the first link become ten times as long
    Then the first link is suspected and the second is not
    And one good interval over each of its pairs clears it in the end

  Scenario: A prompt's holder is preferred until its load is too high
    Given a planned fleet of two endpoints for each of three ranges
    And a chain that ran a prompt of a team
    Then the team's next request with that prompt takes that chain
    And of two chains the one is taken that saves more of the prefill
    And another team's request with that prompt finds no holder
    And the chain is not kept once its load is three times another's
    And an agent with a gap in its cache events alone is no holder any more
    And 1000 other prompts leave no more than 100 blocks remembered
