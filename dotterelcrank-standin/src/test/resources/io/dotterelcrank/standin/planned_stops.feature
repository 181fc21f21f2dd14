Feature: Planned stops and removals cut off nothing and stop new work

  Scenario Outline: a data centre is taken out while <condition>
    Given a fleet of two data centres with streams running
    When data centre "dc-a" is taken out while <condition>
    Then "dc-a" gets no new work after 3 seconds
    And every stream is whole

    Examples:
      | condition                          |
      | everything works                   |
      | the host list cannot be read       |
      | the log goes down after the change |
      | only a sidecar has heard           |
      | only an entry host has heard       |

  Scenario: a request is under way when its target's sidecar hears of the removal
    Given a fleet of two data centres with streams running
    When the sidecar of engine-a hears of the removal while a request is under way
    Then engine-a does not get the request, and its caller gets the whole answer

  Scenario: a sidecar leaves during long streams
    Given a fleet of two data centres with streams running
    When the sidecar of "engine-a" leaves
    Then "engine-a" gets no new work after 1 seconds
    And every stream is whole
    And the stop is complete

  Scenario: a second termination changes nothing
    Given a fleet of two data centres with streams running
    When the sidecar of "engine-a" leaves
    And the sidecar of "engine-a" leaves
    Then every stream is whole
    And the stop is complete

  Scenario: a drained host gets no new work
    Given a fleet of two data centres with streams running
    When host "engine-a" is drained
    Then "engine-a" gets no new work after 3 seconds
    And every stream is whole

  Scenario: an entry host leaves during long streams
    Given a fleet of two data centres with streams running
    When entry host "entry-a" leaves
    Then it has not stopped before its streams end
    And every stream is whole

  Scenario: a data centre that returns starts low
    Given a fleet of two data centres with streams running
    When data centre "dc-a" is taken out while everything works
    And data centre "dc-a" returns
    Then the target "engine-a" warms up anew
