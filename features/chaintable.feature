Feature: Chains that are found fast among hundreds of engines
  The choice is made for each request, and again for each that waits, on
  hosts with a third of a core.

  Scenario: The chain is as cheap as any that trying all of them finds
    Then no chain of any fleet is cheaper than the one that is chosen
    And none is where engines have room for a few layers only
    And none is where one engine is fast in the midst of a slow one's layers
    And none is where chains may cross pipes freely

  Scenario: An engine that is out of use gets nothing
    Then a choice without some engines is the one when these have no room
    And there is one if the fleet without them has one

  Scenario: A choice among 123 engines is quick
    A line takes some 80 ns on an idle machine, so 3750 of them are 0.3 ms.
    Given 123 engines in 5 failure domains
    Then a choice runs no more than 3750 lines of code

  Scenario: A choice is as quick where nothing has room
    Given 123 engines in 5 failure domains
    When all memory is taken
    Then a choice runs no more than 3750 lines of code
    When one domain after the other holds what the next one lacks
    Then a choice runs no more than 20000 lines of code

  Scenario: Engines of which nothing bad is told are not looked at
    Given the beliefs of an entry that uses 600 engines
    When 2 of them are left out and 1 refuses
    Then these 3 are unusable and no more than them are looked at
    And none is once their times are over
