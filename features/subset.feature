Feature: An entry connects to its subset of the agents
  In a large fleet no entry keeps links to all agents. It dials an agent
  outside its subset when a request is bound to it.

  Scenario: Links to the subset, and to another agent while it is needed
    Given 12 agents of two layer ranges and 6 entries in three failure domains
    When an entry that may have 4 agents follows the membership
    Then it has links to 2 agents of each layer range in 2 failure domains
    When an agent outside the subset is requested by its incarnation
    Then it is linked, and stays so for as long as it has work
    When that work ended long ago
    Then it has links to 2 agents of each layer range in 2 failure domains

  Scenario: Suspected agents give their place to others
    Given 12 agents of two layer ranges and 6 entries in three failure domains
    When an entry that may have 4 agents follows the membership
    And its agents are suspected while their links are up
    Then other agents are linked besides, and the old ones are usable

  Scenario: What the platform's list says is leaving gets no new work
    Given 12 agents of two layer ranges and 6 entries in three failure domains
    When an entry that may have 4 agents follows the membership
    And the platform's list says that its agents are leaving
    Then other agents are linked instead, and the old ones get no new work
    When the platform's list says that they stay
    Then it has links to 2 agents of each layer range in 2 failure domains

  Scenario: A life that is gone is not reached
    Given 12 agents of two layer ranges and 6 entries in three failure domains
    When an entry that may have 4 agents follows the membership
    Then requesting an older incarnation of an agent outside gives none

  Scenario: What an engine holds follows it through the fleet
    Given a process that knows an engine by its first record
    When a suspicion of the engine comes in short after it took other layers
    Then the process holds nothing new until the whole record comes

  Scenario: Whoever leads a model sees all engines over its subset's links
    Given 12 agents of two layer ranges and 6 entries in three failure domains
    When an entry that may have 4 agents follows the membership
    Then it sees 12 engines for placement, none suspected, over 4 links
    When the only spare engine is outside its subset and gets an order
    Then the order comes there, over a link that is closed once it is done

  Scenario: The broken paths of a leader alone lose no layers
    Given 12 agents of two layer ranges and 6 entries in three failure domains
    When an entry that may have 4 agents follows the membership
    And each of its links breaks and cannot be made again
    Then it sees 12 engines for placement, 4 of them suspected
    When a process of its failure domain suspects the same agents
    Then it sees 12 engines for placement, 4 of them suspected
    When a process of another failure domain suspects the same agents
    Then it sees 8 engines for placement, 0 of them suspected

  Scenario: An engine that is away counts as lost without a link to it
    Given 12 agents of two layer ranges and 6 entries in three failure domains
    When an entry that may have 4 agents follows the membership
    And an agent outside its subset reports that its engine is away
    Then it sees 11 engines for placement, 0 of them suspected

  Scenario: Links outside the subset are few, and the oldest gives way
    Given 12 agents of two layer ranges and 6 entries in three failure domains
    When an entry that may have 4 agents follows the membership
    Then of 3 links that it may have besides, the oldest without work closes
