Feature: Causes of failed and late requests, found in entry logs
  Guards against requests with a wrong cause or several causes.

  Scenario Outline: Each request has one cause
    Given the log of an entry with a request that <happens>
    When the operator asks for losses
    Then the only cause is "<cause>"

    Examples:
      | happens                        | cause                                                  |
      | is cut when the process ends   | the entry ended under it                               |
      | is refused for "no room"       | refused: no chain had room                             |
      | is refused for "no budget"     | refused: no second send was left                       |
      | is ended by the shutdown       | the entry ended under it                               |
      | is told to return by the shutdown | refused: the entry was stopping                     |
      | is refused for "stopping"      | refused: the entry was stopping                        |
      | is denied for "stopping"       | refused: the entry was stopping                        |
      | is denied for "no configuration" | refused: the entry knew nothing yet                  |
      | is told that it may have run   | it may have run, no answer came                        |
      | begins late after a move       | first event late: its first chain stood still or broke |
      | begins late                    | first event late: waiting or reading                   |
      | pauses after a move            | pause: its chain stood still or broke                  |
      | pauses                         | pause: its chain was slow                              |

  Scenario: Requests in time and calls that rules refuse are no losses
    Given the log of an entry with a request that is served
    And a line that is none
    When the operator asks for losses
    Then no cause is told, and 1 request was served in time
    And the operator hears of 1 line that was not read

  Scenario: Lines to which a collector added their time and host are read
    Given the log of an entry with a request that is refused for "no room"
    And each of its lines begins with a time and a host
    When the operator asks for losses
    Then the only cause is "refused: no chain had room"

  Scenario: Files without a line of a log are refused
    Given the log of an entry with a request that is served
    And nothing but lines that are none
    Then the operator who asks for losses gets an error that names 2 lines
