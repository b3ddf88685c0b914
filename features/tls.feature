Feature: TLS between processes
  Each side presents a certificate of the fleet's authority, and the name
  and role in its messages must match that certificate.

  Scenario: Two processes with certificates are linked
    Given a process "agent-1" that serves as agent
    When "entry-1" dials it as entry
    Then the link is up on both sides

  Scenario Outline: A process that the authority does not vouch for is refused
    Given a process "agent-1" that serves as agent<server>
    When "entry-1" dials it as entry<dialer>
    Then neither side has a link after some tries

    Examples:
      | server                          | dialer                          |
      |                                 | , certified by another authority |
      | , certified by another authority |                                 |
      |                                 | , with an expired certificate   |
      | , with an expired certificate   |                                 |
      |                                 | , without TLS                   |
      | , without TLS                   |                                 |

  Scenario Outline: A process that claims what its certificate does not say is refused
    Given a process "<name>" that serves as <role>, certified as <served>
    When "entry-1" dials it as entry, certified as <dialled>
    Then neither side has a link after some tries
    And the <side> counts and logs a refusal for "<reason>" that names "<word>"

    Examples:
      | name    | role  | served        | dialled       | side   | reason    | word            |
      | agent-1 | agent | agent agent-1 | agent entry-1 | server | identity  | agent 'entry-1' |
      | agent-1 | agent | agent agent-1 | entry entry-2 | server | identity  | entry 'entry-2' |
      | agent-1 | agent | entry agent-1 | entry entry-1 | dialer | handshake | erification     |

  Scenario: A process cannot change its name while it is linked
    Given a process "agent-1" that serves as agent
    When "entry-1" dials it as entry
    And the dialer says that it is entry "entry-2"
    Then the link ends and the server counts a refusal for "identity"

  Scenario Outline: A role cannot send what only another may
    Given a process "<server>" that serves as <to>
    When "<dialer>" dials it as <from>
    And the dialer sends <bodies>
    Then only <taken> arrive at the server
    And the server counts a refusal for "<reason>"

    Examples:
      | server  | to    | dialer  | from  | bodies                        | taken                   | reason |
      | agent-1 | agent | agent-2 | agent | open, call, attach, order, step | step                  | role   |
      | agent-1 | agent | entry-1 | entry | token, step, resume, load, open | open                  | role   |
      | entry-2 | entry | agent-1 | agent | demand, grant, open, load     | load                    | role   |
      | entry-2 | entry | entry-1 | entry | order, suspects, grant        | grant                   | role   |

  Scenario: A process cannot speak before it says who it is
    Given a process "agent-1" that serves as agent
    When "entry-1" sends an open frame over a stream without a hello
    Then no frame arrives at the server
    And the server counts a refusal for "role"

  Scenario: Anti-entropy is refused from a process that claims another's name
    Given a process "agent-1" that serves as agent
    When "agent-2" calls for anti-entropy as agent "agent-2" and as "agent-3"
    Then the first call is answered and the second is refused
    And the server counts a refusal for "identity"

  Scenario: An agent cannot make claims
    Given a process "entry-1" that serves as entry
    When "entry-2" and "agent-1" ask it to make a claim
    Then only the entry's claim is made there
    And the server counts a refusal for "identity"

  Scenario: Renewed files are used without a restart, under an open link
    Given a process "agent-1" that serves as agent
    And "entry-1" dials it as entry
    When the certificates of both are renewed by a new authority
    And "entry-2" dials it as entry, certified by the new authority
    Then the link is up on both sides
    And the first link has lost no frame and is still open
    When "entry-3" dials it as entry
    Then the last dialer has no link after some tries

  Scenario: While authorities are replaced, both are good
    Given a process "agent-1" that serves as agent
    When its bundle of authorities gets another one beside the first
    And "entry-1" dials it as entry
    Then the link is up on both sides
    When "entry-2" with the bundle and the other authority dials it
    Then the link is up on both sides

  Scenario Outline: New files that cannot be used are logged, the old ones kept
    Given a process "agent-1" that serves as agent
    When its <field> file becomes <content>
    And "entry-1" dials it as entry
    Then the link is up on both sides
    And the server has logged one refusal of files with "<message>"
    And no line of the log holds the content of a key

    Examples:
      | field       | content               | message                    |
      | certificate | text                  | expected a certificate     |
      | certificate | that of another agent | expected the DNS names     |
      | certificate | an expired one        | expired                    |
      | key         | another key           | is not the certificate's   |
      | key         | cut short             | expected a private key     |
      | authorities | missing               | authorities: cannot read   |

  Scenario Outline: Settings with TLS that cannot work are refused at the field
    Given the files and settings of agent "agent-1" with TLS
    When <change>
    Then the settings with TLS are refused at "<field>" with "<message>"

    Examples:
      | change                                   | field           | message                     |
      | its certificate file becomes text        | tls.certificate | expected a certificate      |
      | its certificate file becomes an expired one | tls.certificate | expired                  |
      | its key file becomes another key         | tls.key         | is not the certificate's    |
      | its authorities file becomes missing     | tls.authorities | cannot read                 |
      | its settings name it "agent-2"           | tls.certificate | expected the DNS names      |
      | its settings name it "agent_1"           | name            | expected a DNS name         |
      | its settings have "key" for admin_tls    | admin_tls.certificate | expected a certificate |
      | its settings leave out the key           | tls.key         | the field is missing        |
