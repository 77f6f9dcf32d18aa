Feature: An accepted request survives any announced reclaim

  Scenario: Running streams move with their memory, whatever their kind
    Given a fleet of 2 routers with one reclaimable engine in each failure domain
    When 12 callers stream 240 tokens from "/once/x"
    And the fullest failure domain is reclaimed with 1800 ms notice
    Then each stream is complete and in order
    And no request ran twice and no prefill was recomputed

  Scenario: A stream that ends in time is left where it is
    Given a fleet of 2 routers with one reclaimable engine in each failure domain
    When 4 callers stream 40 tokens from "/once/x"
    And the fullest failure domain is reclaimed with 2500 ms notice
    Then each stream is complete and in order
    And no stream was migrated

  Scenario: No engine takes a moved stream
    Given a fleet of 2 routers with one reclaimable engine in each failure domain
    And no engine accepts copies of KV caches
    When 8 callers stream 200 tokens from "/chat/x"
    And the fullest failure domain is reclaimed with 1500 ms notice
    Then each stream is complete and in order

  Scenario: Copies that two engines give the same handle
    Given two engines that run one stream each and a third engine
    When both streams are migrated to the third engine with equal handles
    Then each stream resumes there with its own content

  Scenario: Two failure domains, one right after the other
    Given a fleet of 2 routers with one reclaimable engine in each failure domain
    When 12 callers stream 240 tokens from "/once/x"
    And the fullest failure domain is reclaimed with 1800 ms notice
    And the fullest failure domain is reclaimed with 1800 ms notice
    Then each stream is complete and in order

  Scenario: A leaving upstream gets no new work
    Given a fleet of 3 routers
    When an engine announces that it leaves while callers send requests
    Then no request reaches it more than 1000 ms later

  Scenario: A leaving upstream is known through a peer while the store is out
    Given a fleet of 3 routers
    When an engine leaves and one router's store calls fail from then on
    Then that router sends it no request after 1500 ms

  Scenario: An entry that runs out in an outage comes back
    Given a fleet of 2 routers that tolerate missing entries for 1 s
    When the store is down and the entry of an engine expires meanwhile
    And the entry is written again 500 ms after the store is back
    Then no router ever considers the engine gone

  Scenario: An entry that does not come back is gone
    Given a fleet of 2 routers that tolerate missing entries for 1 s
    When the store is down and the entry of an engine expires meanwhile
    Then all routers consider the engine gone within 3000 ms
