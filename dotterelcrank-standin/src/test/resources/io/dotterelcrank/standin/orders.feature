Feature: Placement orders to engines

  Scenario Outline: an order reaches an engine that <checks> fencing tokens
    Given an engine that <checks> fencing tokens
    When operators place model version "2"
    Then the engine holds version "2" within 12 seconds

    Examples:
      | checks  |
      | checks  |
      | ignores |

  Scenario: an engine that checks fencing tokens refuses a stale order
    Given an engine that checks fencing tokens
    When operators place model version "2"
    And an order for version "1" with a stale fencing token arrives
    Then the engine holds version "2" within 12 seconds

  Scenario: a stale order to an engine that ignores fencing tokens is corrected
    Given an engine that ignores fencing tokens
    When operators place model version "2"
    And an order for version "1" with a stale fencing token arrives
    Then the engine holds version "2" within 12 seconds

  Scenario: an engine that ignores fencing tokens gets no order while the configuration is unconfirmed
    Given an engine that ignores fencing tokens
    When the log is down for a minute and the engine reverts to version "1"
    Then the engine gets no order until the log is back

  Scenario: loads respect the rate limit of the weight store
    Given an engine that checks fencing tokens
    And three more engines
    When operators place model version "2"
    Then the weight store granted four permits, one per second
