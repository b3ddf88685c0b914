Feature: Prefix caches weighed against load
  Fails if prefixes match across teams, if a view of an engine's cache
  claims more than the engine holds, if views or updates outgrow their
  bounds, or if a cached prefix outweighs load beyond its limit.

  Scenario: A team's prefix never matches another's
    Then in 300 drawn pairs of teams and prompts no hash is shared
    And a longer prompt of one team shares the hashes of its start

  Scenario: Events tell which prefixes an engine holds
    Given a view of an engine's prefix cache
    When 4 prompts of one team with a common start are run
    Then the view holds each of them as far as the engine does
    And the block where the prompts part is published first

  Scenario: Late events change the view late and no further
    Given a view of an engine's prefix cache whose events are 5 s late
    When 4 prompts of one team with a common start are run
    Then the view holds nothing of them before 5 s have passed
    And the view holds each of them as far as the engine does

  Scenario: What the engine evicts is lost in the view
    Given a view of an engine's prefix cache of 2048 tokens
    When 40 prompts of one team with a common start are run
    Then the view holds nothing that the engine does not hold

  Scenario: A gap makes the view unsure until it is read anew
    Given a view of an engine's prefix cache of 2048 tokens
    And 7 in 10 of its events are lost
    When 40 prompts of one team with a common start are run
    Then the view is incomplete, with gaps counted
    When what the engine holds is read anew
    Then the view is complete again
    And the view holds nothing that the engine does not hold

  Scenario: An engine that was started anew holds nothing
    Given a view of an engine's prefix cache
    When 4 prompts of one team with a common start are run
    And the engine is started anew and runs one prompt
    Then the view holds that prompt and no other

  Scenario: Views, news and what entries remember are bounded
    Given a view of an engine's prefix cache that keeps 100 blocks
    When 200 prompts of many teams are run
    Then the view keeps no more than 100 blocks
    And no update has more than 8 prefixes
    And entries are told of no more than 16 prefixes at a time
    And a full snapshot equals the sum of all updates

  Scenario: Load beats affinity beyond the stated point
    Given chains of which one holds drawn parts of a prompt
    Then it is chosen up to 1 + 1.5 times its saved share, then by load alone

  Scenario: Real engines' events bring a prompt back through another entry
    Given a small deployment with cached prompts
    When a team's prompt ran through entry 0
    And entry 1 was told of it
    Then longer prompts of the team through entry 1 run on the same engines
    And another team's prompts through entry 1 find nothing known
    And entry 1's metrics count the prompts with a known holder
    And most of the longer prompts' start is found in the caches

  Scenario: An agent reads a stand-in's events and notices its restart
    Given an agent's reader of a stand-in engine's cache events
    When a prompt runs on that engine and the reader polls twice
    Then the reader publishes the end of the prompt, and a snapshot to a new link
    When that engine is started anew and the reader polls
    Then the reader withdraws what it published
    And events that cannot be read change nothing

  Scenario: An entry drops what it knew of an agent with a new link
    Given an entry's plan with prefixes that an agent published
    When the agent sends a snapshot without one of them
    Then the entry finds the others and not that one
