Feature: Choice, failover and admission of engine chains
  Tests the decisions without I/O, over many generated fleets.

  Scenario: A chain covers each layer once, whatever the fleet
    Then any chain that is found covers all layers in order with room for its request
    And a chain is found whenever idle engines hold all layers
    And no chain crosses a pipe that is full

  Scenario: A calm caller's chain stays in its failure domain
    Given engines in "a" and "b" that each hold all 12 layers in 3 parts
    Then the chain of a caller in "a" stays in "a"
    And with 10 more requests in "a" it still keeps to one failure domain

  Scenario: A chain leaves out engines without room
    Given engines in "a" and "b" that each hold all 12 layers in 3 parts
    When an engine of "a" has no room
    Then the chain of a caller in "a" still covers all layers

  Scenario: A layout gives each domain whole copies where it can
    Then no layout holds more than a card takes
    And every domain whose cards can hold the model holds it whole
    And an engine that comes back gets what its domain lacks

  Scenario: A spare engine moves to layers that its domain has lost
    Given a layout of "a" with 6 cards of kind "large"
    When any one of its engines leaves
    Then moves of spare engines make the domain whole again
    And without a loss nothing moves

  Scenario: Reservations of all entries add up
    Then what is reserved is released to the last token, in any order
    And what a silent entry told is forgotten after 2 seconds
    And what an entry tells each 5.0 seconds counts until it is silent for 10.0

  Scenario: Only engines without other progress are accused
    Given a chain through "x", "y" and "z" that stands still since 10.0
    When another request moved through "x" and "z" at 10.2
    Then only "y" is accused at 10.3
    And "y" gets one trial after 1 second and is in use again once it moves
    And a second failure leaves "y" out for 2 seconds

  Scenario: Second sends of all entries stay within the shared budget
    Then 29 entries that send all they may stay within the budget in any window
    And they do so although all of them restart at the height of a storm

  Scenario: A request that breaks run after run is refused
    When runs of a request broke at 2 endpoints
    Then it is not refused yet
    When one more run of it broke at the first endpoint
    Then it is not refused yet
    When a run of it broke at a third endpoint
    Then it is refused, until 60 seconds have passed

  Scenario: Entries do not keep news of broken runs alive
    When runs of a request broke at 3 endpoints of one entry
    And two entries tell each other every 0.15 s for 64 s
    Then neither of them refuses the request
    And neither has anything left to tell

  Scenario: An endpoint that answers later did not crash
    When runs of a request broke at 2 endpoints
    And a run of it broke at a third endpoint
    And the first endpoint answers a request sent before its break
    Then it is refused, until 60 seconds have passed
    When the first endpoint answers a request sent after its break
    Then it is not refused any more
    When the break at the first endpoint is told again
    Then it is not refused any more
    When one more run of it broke at the first endpoint
    Then it is refused, until 60 seconds have passed

  Scenario: Events pass whole, once and in order
    Then any cut of a stream into pieces passes the same events
    And a second run that overlaps the first adds only what is new
    And a second run that begins too late is noticed

  Scenario: An event without an id is no piece of a stream by itself
    Guards against bytes of a run that broke off between two events of a stream
    that goes on elsewhere.
    Then events without an id pass in their place in a run
    And an event without an id of a run that broke off does not

  Scenario: An event with an id of any length is told from the next one
    Guards against a stream that ends with an error of the entry, as numbers of
    thousands of digits are not converted.
    Then an event whose id has 5,000 digits is first or follows none

  Scenario: Waiting requests go by priority, standing and arrival
    Then any order of arrivals leaves by priority, standing and arrival

  Scenario: What can't be served in time is refused at once
    Given a queue from which 10 requests a second find a place
    Then a request with 2 ahead waits for 0.3 seconds
    And a request with 4 ahead is refused at once
    And a request with 4 ahead waits for 1.2 seconds
    And a request with 1 ahead waits though nothing was served for a while
    And a stream under way with 40 of its kind ahead waits
