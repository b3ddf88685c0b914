Feature: Layer layouts that survive the loss of an engine
  Simulates which layers each engine holds, on the accelerators of several
  deployments. Guards against layers with a single holder, needless moves and
  layouts that leave too little memory for requests.

  Scenario Outline: No layer hangs on one engine where memory has three copies
    Given a model of 80 layers of 1750 MB, whose tokens take <token> bytes
    And its failure domain with <cards>
    Then its memory has 3 copies of the model and each layer 2 holders
    And the loss of any one engine leaves room for <streams> streams

    Examples:
      | token  | cards                            | streams |
      | 786000 | 1 a100, 9 l40s, 7 l4             | 50      |
      | 786000 | 3 a100, 4 l40s, 9 l4             | 50      |
      | 786000 | 1 a100, 5 l40s, 13 l4            | 50      |
      | 656000 | 3 a100, 8 v100, 8 l4             | 50      |
      | 656000 | 2 a100, 13 v100, 12 l4           | 50      |
      | 656000 | 2 a100, 21 v100, 7 l4            | 50      |
      | 393000 | 3 a100, 4 l40s, 9 l4             | 50      |

  Scenario: Engines that are replaced one after the other cost no layer
    Given a model of 80 layers of 1750 MB, whose tokens take 786000 bytes
    And its failure domain with 1 a100, 9 l40s, 7 l4
    When each engine is replaced, each new one listed before its old one leaves
    Then each layer had a holder all the time
    And each engine loaded layers only once

  Scenario: Room for requests grows with the demand and keeps a reserve
    Given a model of 80 layers of 1750 MB, whose tokens take 656000 bytes
    And its failure domain with 1 a100, 9 v100, 10 l4
    When its streams take 10000 tokens at their peak
    Then a new layout holds as many copies as without that knowledge
    When its streams take 150000 tokens at their peak
    Then a new layout keeps room for 150000 tokens with all engines

  Scenario: Peaks of what streams take are kept for a while
    Given streams that take 1000 tokens from 10.0 s and 4000 at 14.0 s
    Then nothing is known of their demand at 12.0 s
    And at 17.0 s it is between 3000 and 5000 tokens
    And at 200.0 s it is less than 2000 tokens

  Scenario: An engine moves only where that pays for its load
    Given a model of 80 layers of 1750 MB, whose tokens take 786000 bytes
    And its failure domain with 1 a100, 9 l40s, 7 l4
    Then no engine of it moves
    When an engine is gone without which a layer has one holder
    Then an engine moves there only once the fleet is steady
    And then none moves any more

  Scenario: An engine that alone holds a layer stays where it is
    Given a model of 80 layers of 1750 MB, whose tokens take 786000 bytes
    And failure domains "a" and "b" whose one a100 holds layers 0 to 40
    And two more in "a" that hold layers 0 to 20
    Then no engine moves that alone holds a layer of its domain

  Scenario Outline: A layout takes little time
    A line of code takes about 80 ns on an idle machine, so 1250000 lines
    take 100 ms.
    Given <engines> engines without layers in 5 failure domains
    Then their layout runs no more than <lines> lines of code

    Examples:
      | engines | lines   |
      | 123     | 1250000 |
      | 600     | 5000000 |
