Feature: Placement of layer ranges by a leader per model
  Guards against layer ranges without a holder, against needless moves and
  against orders of a deposed leader.

  Background:
    Given a model of 24 layers in ranges of 8, each held twice

  Scenario: A range that all its holders lost is loaded by a spare engine
    Given spare engines with 3 and 1 requests
    When the holders of layers 8 to 16 vanish at 100.0 s
    Then nothing is ordered until 105.0 s
    And at 105.1 s the spare engine with 1 requests is to hold layers 8 to 16
    And nothing more is ordered until 200.0 s

  Scenario: A host that was away for two seconds is waited for
    Given spare engines with 0 and 0 requests
    When the holders of layers 8 to 16 vanish at 100.0 s
    And they are back at 102.0 s
    And the holders of layers 8 to 16 vanish at 103.0 s
    Then nothing is ordered until 108.0 s

  Scenario: A doubt begins the wait, and only what is certain is replaced
    Given spare engines with 0 and 0 requests
    When the holders of layers 8 to 16 are in doubt from 100.0 s
    Then nothing is ordered until 110.0 s
    When the holders of layers 8 to 16 vanish at 110.0 s
    Then at 110.1 s the spare engine with 0 requests is to hold layers 8 to 16

  Scenario: A range that was not seen held yet gets the time to start
    Given spare engines with 0 and 0 requests
    And a leader with a patience of 1.0 s that has just begun
    And the holders of layers 8 to 16 have yet to start
    Then nothing is ordered until 104.9 s
    When they are back at 104.9 s
    And the holders of layers 8 to 16 vanish at 110.0 s
    Then nothing is ordered until 111.0 s
    And at 111.1 s the spare engine with 0 requests is to hold layers 8 to 16

  Scenario: What is in doubt is neither ordered nor counted on
    Given spare engines with 0 and 0 requests
    And every spare engine is in doubt
    And one holder of layers 16 to 24 is in doubt
    When the holders of layers 0 to 8 vanish at 100.0 s
    Then at 105.1 s one holder of layers 8 to 16 is to hold layers 0 to 8

  Scenario Outline: Who misses a process decides whether it is gone
    Then in <domains> failure domains one missed by <witnesses> is <standing>

    Examples:
      | domains | witnesses          | standing |
      | 3       | nobody             | present  |
      | 3       | a of A             | suspect  |
      | 3       | a of A, b of A     | suspect  |
      | 3       | a of A, b of B     | gone     |
      | 1       | a of A             | suspect  |
      | 1       | a of A, b of A     | gone     |

  Scenario: Without spares the least busy member of the largest range moves
    Given a further holder of layers 16 to 24 with 2 requests
    When the holders of layers 0 to 8 vanish at 100.0 s
    Then at 105.1 s one holder of layers 16 to 24 is to hold layers 0 to 8
    And the last holder of a range never moves

  Scenario: The loss of a failure domain makes few orders at a time
    Given 8 spare engines that hold at most 4 layers each
    When every holder vanishes at 100.0 s
    Then at 105.1 s there are 2 orders and not more while they are open
    And each order that ends lets one more begin until all 24 layers are held

  Scenario: A leader that sees less than half of the agents does nothing
    Then one that sees 3 of 6 agents orders and one that sees 2 of 6 does not

  Scenario: Missing ranges are the fewest layers that let a chain exist
    Then for any ranges the missing ones complete a chain and none is needless

  Scenario: A paused leader wakes up after its lease and knows it
    Given a leader whose renewal at 100.0 s was answered at 103.0 s
    Then at 105.3 s it leads and at 105.5 s it has lapsed
    And an answer that comes later than it lapsed makes it lead again

  Scenario: Few candidates are picked, in different failure domains
    Given 370 entries in 7 failure domains
    Then each model has 3 candidates in 3 failure domains
    And the loss of an entry changes candidates only where it was one

  Scenario Outline: The order of a deposed leader changes nothing
    Given a spare endpoint whose engine <checks> the numbers of orders
    And a leader that was deposed by another without knowing it
    Then the agent refuses an order of the old leader: not-leader
    When the new leader orders layers 8 to 16
    Then the agent refuses an order of the old leader: old-fence
    And an order made from an old view is refused: holds-other
    When the agent of the spare endpoint is started anew
    Then the agent tells that it holds layers 8 to 16
    And the agent refuses an order of the old leader: old-fence
    When the store of the leaders is away
    Then the agent refuses an order of the new leader: store-away

    Examples:
      | checks  |
      | checks  |
      | ignores |

  Scenario: A leader that was paused beyond its lease orders nothing
    Given two candidates that see a lost range, the first one leading
    When the first is paused for 30.0 s and its lease ends
    Then the second has ordered once, and the first orders nothing
    And while the store is away the second lapses and orders nothing

  Scenario: Two leaders at once, as processes, do no harm
    Given a deployment of real processes with a spare endpoint
    When the leading entry is stopped in its tracks and a range is lost
    Then another entry leads and restores the range by one order
    And the first entry follows once it runs again, and one order stays

  Scenario: Layers change under load and no answer mixes old and new ones
    Given a deployment with two holders of each range, under load
    When a holder of layers 0 to 8 is ordered to hold 8 to 16
    Then the new holder runs steps and no answer is wrong
