Feature: Orders to engines

  Scenario Outline: an order reaches an engine that <checks> fencing numbers
    Given an engine that <checks> fencing numbers
    When operators place model version "2"
    Then the engine holds version "2" within 12 seconds

    Examples:
      | checks  |
      | checks  |
      | ignores |

  Scenario: a late order of a predecessor is refused by an engine that checks
    Given an engine that checks fencing numbers
    When operators place model version "2"
    And an order for version "1" with an old fencing number arrives late
    Then the engine holds version "2" within 12 seconds

  Scenario: a late order of a predecessor is put right at an engine that ignores
    Given an engine that ignores fencing numbers
    When operators place model version "2"
    And an order for version "1" with an old fencing number arrives late
    Then the engine holds version "2" within 12 seconds

  Scenario: no order to an engine that ignores while the configuration is not confirmed
    Given an engine that ignores fencing numbers
    When the log is down for a minute and the engine comes back with version "1"
    Then the engine gets no order until the log is back

  Scenario: the weight store's rate is honoured
    Given an engine that checks fencing numbers
    And three more engines
    When operators place model version "2"
    Then the store gave four permits, one a second
