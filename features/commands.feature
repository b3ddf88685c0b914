Feature: The operators' command line
  Fails if a command applies a document that is invalid or based on an old
  revision, or if its exit code does not tell a mistake (2), a conflict (3)
  and a failure (1) apart.

  Background:
    Given a store for the command line

  Scenario: A document is applied, edited and rolled back
    When the operator applies rules "first"
    Then the command ends with 0 and prints "revision 1 is accepted"
    When the operator applies rules "first, second"
    Then the command ends with 0 and prints "revision 2 is accepted"
    When the operator runs "rules rollback 1"
    Then the command ends with 0 and prints "revision 3 is accepted"
    When the operator runs "rules show"
    Then the command ends with 0 and prints "// revision 3"
    And it does not print "second"
    When the operator runs "rules history"
    Then the command ends with 0 and prints "roll back to revision 1"

  Scenario: The second of two racing operators sees what the first did
    When the operator applies rules "first"
    And the operator applies rules "first, other"
    And the operator applies rules "mine" made from revision 1
    Then the command ends with 3 and prints "+rules: {"name":"other""
    And it prints "revision 2 is in force, not 1"

  Scenario: A mistake changes nothing and is told with its place
    When the operator applies rules "first, first"
    Then the command ends with 2 and prints ".jsonc:3:52: error: rules[1].name: duplicate name"
    When the operator runs "rules history --json"
    Then the command ends with 0 and prints "[]"

  Scenario: A store that is down is told as such
    Given the store of the command line is down
    When the operator applies rules "first"
    Then the command ends with 1 and prints "store: "

  Scenario: Waiting ends when the daemons asked hold the revision
    Given a daemon at revision 1 for the command line
    When the operator applies rules "first" and waits 5 seconds
    Then the command ends with 0 and prints "in force at every daemon"
    And it prints "revision 2 is accepted"
    When the operator runs "status --admin DAEMON"
    Then the command ends with 1 and prints "still starting"
    When the operator runs "drain DAEMON"
    Then the command ends with 0 and prints "draining"

  Scenario: Waiting that runs out names the daemon that lags
    Given a daemon stuck at revision 1 for the command line
    When the operator applies rules "first" and waits 0.3 seconds
    Then the command ends with 1 and prints "still at revision 1"
    And it prints "in force at 0 of 1 daemons"

  Scenario Outline: Waiting names an agent that has not got the revision
    Given an agent's daemon that <tells> for the command line
    When the operator applies rules "first" and waits 0.3 seconds
    Then the command ends with 1 and prints "<tells>"

    Examples:
      | tells               |
      | still at revision 1 |
      | tells no revision   |

  Scenario: Explaining says which rule decides
    When the operator applies rules "first"
    And the operator runs "rules explain --member diner --model copy-7b"
    Then the command ends with 0 and prints "rule 0 "first" decides"
    When the operator puts a rule for team "rival" before "first"
    And the operator runs "rules explain --member diner --model copy-7b"
    Then the command ends with 0 and prints "rule 1 "first" decides"
    And it prints "member is "rival", but the request has "diner""
    When the operator runs "rules explain --member dinner --model copy-7b"
    Then the command ends with 0 and prints "did you mean "diner"?"

  Scenario: An edit of an old copy is refused, of a new one accepted
    When the operator applies rules "first"
    And the operator runs "rules show"
    And the operator keeps what was printed as a copy
    And the operator applies rules "first, other"
    And the operator applies the copy with "first" changed to "mine"
    Then the command ends with 3 and prints "+rules: {"name":"other""
    When the operator runs "rules show"
    And the operator keeps what was printed as a copy
    And the operator applies the copy with "first" changed to "mine"
    Then the command ends with 0 and prints "revision 3 is accepted"
    When the operator applies the copy with "mine" changed to "ours"
    Then the command ends with 0 and prints "revision 4 is accepted"

  Scenario: Checking against a running entry tells what cannot be served
    Given a daemon that knows one range of layers, for the command line
    When the operator checks rules "first" against the daemon
    Then the command ends with 0 and prints "chains end at layer 8"

  Scenario: Status warns of a restored store and of what is missed
    Given an agent's daemon at revision 4 whose fleet has trouble
    When the operator asks for the status
    Then it prints "the store holds revision 2, older than the fleet"
    And it prints "revision 3 has two different heads"
    And it prints "entry-7 is missed by 2"
    And it prints no "entry-8"
    And the first row has revision 4
