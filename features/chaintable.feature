Feature: Chains that are found fast among hundreds of engines
  A chain is chosen for each request, and again for each waiting request, on
  hosts with a third of a core. Fails if a chosen chain is not the cheapest
  or if the choice takes too long with hundreds of engines.

  Scenario: The chain is as cheap as any that trying all of them finds
    Then no chain of any fleet is cheaper than the one that is chosen
    And none is where engines have room for a few layers only
    And none is where one engine is fast in the midst of a slow one's layers
    And none is where chains may cross pipes freely

  Scenario: An engine that is out of use gets nothing
    Then a choice without some engines is the one of the fleet without them

  Scenario: A choice among 123 engines is quick
    Counting lines gives the same result under load. A line takes about
    80 ns on an idle machine, so 3750 lines take 0.3 ms.
    Given 123 engines in 5 failure domains
    Then a choice runs no more than 3750 lines of code

  Scenario: A choice is as quick where nothing has room
    Given 123 engines in 5 failure domains
    When all memory is taken
    Then a choice runs no more than 3750 lines of code
    When only chains across failure domains have room
    Then a choice runs no more than 20000 lines of code

  Scenario: Engines of which nothing bad is told are not looked at
    Given the health view of an entry that uses 600 engines
    When 2 of them are left out and 1 refuses
    Then exactly these 3 are unusable and are examined
    And none is after their ejection and refusal times
