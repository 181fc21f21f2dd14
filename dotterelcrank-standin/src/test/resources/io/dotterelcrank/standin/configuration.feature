Feature: An accepted configuration is in force everywhere within seconds and never reverts

  Scenario Outline: a change while <fault>
    Given a fleet of three data centres
    When a change is accepted while <fault>
    Then it is in force everywhere within 12 seconds
    And no process went back to an older version

    Examples:
      | fault                         |
      | everything works              |
      | the log is down for 5 seconds |
      | an entry host is dead         |
      | a link is stalled             |

  Scenario: two operators publish concurrently
    Given a fleet of three data centres
    When two operators publish changes based on the same version
    Then one change is accepted and the other is refused as a conflict

  Scenario: the response of the log is lost
    Given a fleet of three data centres
    When an operator publishes while the log's responses are lost
    Then the operator gets confirmation that the change is in force
    And the log contains the change once

  Scenario: a process starts while the log is down
    Given a fleet of three data centres
    When a change is accepted while everything works
    And the log goes down and a sidecar restarts
    Then the sidecar has the version in force within 12 seconds

  Scenario: a process starts with neither log nor peers
    Given the log is down and only a target runs
    When an entry host starts
    Then it is not ready
    And it is ready within 12 seconds after the log is back

  Scenario: all processes restart at once
    Given a fleet of three data centres
    When a change is accepted while everything works
    And all processes restart at once
    Then it is in force everywhere within 12 seconds

  Scenario: the records of the log expire
    Given a fleet of three data centres
    When a change is accepted while everything works
    And twice the retention time of the log passes
    And all processes restart at once
    Then it is in force everywhere within 12 seconds

  Scenario: the log is down for an hour
    Given a fleet of three data centres
    When the log is down for an hour
    Then requests without a key are still served
    And no process went back to an older version
