Feature: Graceful shutdowns and removals complete running work and stop new work

  Scenario Outline: a data centre is taken out of service while <condition>
    Given a fleet of two data centres with streams running
    When data centre "dc-a" is taken out of service while <condition>
    Then "dc-a" gets no new work after 3 seconds
    And every stream is complete

    Examples:
      | condition                          |
      | everything works                   |
      | the host list cannot be read       |
      | the log goes down after the change |
      | only a sidecar has the change      |
      | only an entry host has the change  |

  Scenario: a sidecar learns of the removal while a request is in transit to it
    Given a fleet of two data centres with streams running
    When the sidecar of engine-a learns of the removal while a request is in transit to it
    Then engine-a does not get the request, and its caller receives the whole response

  Scenario: a sidecar shuts down during long streams
    Given a fleet of two data centres with streams running
    When the sidecar of "engine-a" shuts down
    Then "engine-a" gets no new work after 1 seconds
    And every stream is complete
    And the shutdown is complete

  Scenario: a second shutdown request changes nothing
    Given a fleet of two data centres with streams running
    When the sidecar of "engine-a" shuts down
    And the sidecar of "engine-a" shuts down
    Then every stream is complete
    And the shutdown is complete

  Scenario: a drained host gets no new work
    Given a fleet of two data centres with streams running
    When host "engine-a" is drained
    Then "engine-a" gets no new work after 3 seconds
    And every stream is complete

  Scenario: an entry host shuts down during long streams
    Given a fleet of two data centres with streams running
    When entry host "entry-a" shuts down
    Then it stops only after its streams have ended
    And every stream is complete

  Scenario: the targets of a data centre that returns to service go through slow start
    Given a fleet of two data centres with streams running
    When data centre "dc-a" is taken out of service while everything works
    And data centre "dc-a" returns to service
    Then the target "engine-a" is cold and in slow start
