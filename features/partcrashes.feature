Feature: Prompts with one part that crashes engines
  Guards against engines that end one after the other under requests of which
  no two are alike, and against sound ones that are refused with them.

  Scenario Outline: A part that crashes engines does not go on crashing them
    Given <entries> entries before engines in five failure domains
    And engines crash <point> under streams with <parts>
    When sound streams come for 15 s beside such streams <case>
    Then at most 3 streams with each part reach engines later than 3 s after its fifth crash
    And sound streams are whole at the first try as before from 6 s after it
    And no stream looks complete that is not

    Examples:
      | entries | case                             | parts       | point                  |
      | 3       | with the part in the middle      | bad         | after the head         |
      | 1       | with the part in the middle      | bad         | within the first event |
      | 6       | that are seldom                  | bad         | after the head         |
      | 3       | with the part first              | bad         | before the head        |
      | 3       | with the part third              | bad         | after the head         |
      | 3       | with one of two parts            | bad and odd | after the head         |
      | 3       | of two teams                     | bad         | after the head         |
      | 3       | that have no other part          | bad         | after the head         |
      | 3       | whose answers are without length | bad         | after the head         |

  Scenario: Engines that crash by chance are no reason to refuse a part
    Given 3 entries before engines in five failure domains
    When sound streams come for 15 s while an engine crashes each 1 s
    Then no entry refuses a stream for a part

  Scenario: An entry that starts later keeps a part from engines at once
    Given 2 entries before engines in five failure domains
    And engines crash after the head under streams with bad
    When sound streams come for 9 s beside such streams with the part in the middle
    And an entry starts and such streams come to it for 2 s
    Then none of these streams reaches an engine
    When an operator allows the part "bad" at that entry
    Then no entry refuses it within 1 s
