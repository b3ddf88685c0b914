Feature: Order of the steps at a stage
  Guards against positions that run twice, out of order or not at all when
  links reorder, repeat or lose steps.

  Scenario Outline: One step against a stage that stands at epoch 2, position 4
    When a step of epoch <epoch> with positions <start> to <end> comes to the stage
    Then the stage's verdict is "<verdict>" with <trim> trimmed and next position <next>

    Examples:
      | epoch | start | end | verdict   | trim | next |
      | 2     | 4     | 6   | accept    | 0    | 6    |
      | 2     | 3     | 6   | trim      | 1    | 6    |
      | 2     | 2     | 4   | duplicate | 0    | 4    |
      | 2     | 5     | 6   | gap       | 0    | 4    |
      | 1     | 4     | 6   | stale     | 0    | 4    |
      | 3     | 0     | 2   | accept    | 0    | 2    |
      | 3     | 1     | 2   | gap       | 0    | 0    |

  Scenario: What was sent before a stage asked anew is no gap
    Given a stage that asked anew for positions from 0 on in epoch 2
    Then positions 10 to 11 of epoch 2 are "stale" to it
    And positions 0 to 11 of epoch 2 are "accept" to it
    And positions 12 to 13 of epoch 2 are "gap" to it
    Given a stage that asked anew for positions from 0 on in epoch 2
    Then positions 1 to 2 of epoch 3 are "gap" to it

  Scenario: Any order and repetition of steps runs a prefix of the positions once
    Then for steps of 3 epochs in any order each epoch runs a prefix once

  Scenario: An epoch that ended cannot begin again
    Given fences that hold 2 requests
    When epoch 3 of request "a" ends, and then epoch 1
    Then epoch 3 of "a" has ended and epoch 4 has not
    When epochs of 2 other requests end
    Then the fences hold 2 requests, and not "a"
