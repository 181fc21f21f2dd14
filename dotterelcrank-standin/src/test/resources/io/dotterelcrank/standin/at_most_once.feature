Feature: A non-idempotent call runs at most once, and the reported "ran" is correct

  Scenario Outline: <fault> during a <kind> call
    Given a fleet with two services
    When a <kind> call encounters the fault "<fault>"
    Then the booking ran at most <runs> times
    And the caller's result matches the executions
    And the caller received exactly one result
    And the caller's result is "<result>"

    Examples:
      | kind           | fault                                   | runs | result   |
      | idempotent     | target refuses the connection           | 1    | no       |
      | idempotent     | target breaks before it runs            | 1    | unknown  |
      | idempotent     | target breaks after it ran              | 4    | unknown  |
      | idempotent     | target breaks mid-response              | 4    | unknown  |
      | idempotent     | target never responds                   | 4    | unknown  |
      | idempotent     | link cut before the call                | 2    | response |
      | idempotent     | link cut after the call                 | 2    | response |
      | idempotent     | response lost between sidecar and entry | 2    | response |
      | idempotent     | link stalled                            | 4    | response |
      | idempotent     | sidecar killed before the call          | 2    | response |
      | idempotent     | sidecar killed after the call           | 2    | response |
      | idempotent     | sidecar replaced after the call         | 2    | response |
      | non-idempotent | target refuses the connection           | 1    | no       |
      | non-idempotent | target breaks before it runs            | 1    | unknown  |
      | non-idempotent | target breaks after it ran              | 1    | unknown  |
      | non-idempotent | target breaks mid-response              | 1    | unknown  |
      | non-idempotent | target never responds                   | 1    | unknown  |
      | non-idempotent | link cut before the call                | 1    | response |
      | non-idempotent | link cut after the call                 | 1    | response |
      | non-idempotent | link cut before the reservation         | 1    | response |
      | non-idempotent | response lost between sidecar and entry | 1    | response |
      | non-idempotent | link stalled                            | 1    | response |
      | non-idempotent | sidecar killed before the call          | 1    | unknown  |
      | non-idempotent | sidecar killed after the call           | 1    | unknown  |
      | non-idempotent | sidecar replaced after the call         | 1    | unknown  |
      | non-idempotent | entry killed after the call             | 1    | nothing  |
      | keyed          | target refuses the connection           | 1    | no       |
      | keyed          | target breaks before it runs            | 1    | unknown  |
      | keyed          | target breaks after it ran              | 1    | unknown  |
      | keyed          | target breaks mid-response              | 1    | unknown  |
      | keyed          | target never responds                   | 1    | unknown  |
      | keyed          | link cut before the call                | 1    | response |
      | keyed          | link cut after the call                 | 1    | response |
      | keyed          | response lost between sidecar and entry | 1    | response |
      | keyed          | link stalled                            | 1    | response |
      | keyed          | sidecar killed before the call          | 1    | response |
      | keyed          | sidecar killed after the call           | 1    | yes      |
      | keyed          | sidecar replaced after the call         | 1    | yes      |
      | keyed          | entry killed after the call             | 1    | nothing  |
      | keyed          | log down                                | 1    | no       |
      | keyed          | log responses lost                      | 1    | response |
      | keyed          | log appends late                        | 1    | no       |

  Scenario Outline: the same key at another entry host, after <fault>
    Given a fleet with two services
    When a keyed call encounters the fault "<fault>"
    And the fault ends
    And the same key is sent to another entry host
    Then the booking ran at most 1 times
    And the caller's result matches the executions
    And the second caller's result matches the executions

    Examples:
      | fault                                   |
      | target refuses the connection           |
      | target breaks before it runs            |
      | target breaks after it ran              |
      | target never responds                   |
      | link cut before the call                |
      | link cut after the call                 |
      | response lost between sidecar and entry |
      | link stalled                            |
      | sidecar killed before the call          |
      | sidecar killed after the call           |
      | sidecar replaced after the call         |
      | entry killed after the call             |
      | log down                                |
      | log responses lost                      |
      | log appends late                        |

  Scenario: the same key at two entry hosts at once
    Given a fleet with two services
    When the same key is sent to both entry hosts at once
    Then the booking ran at most 1 times
    And both callers received the same response

  Scenario: the same key with a different body
    Given a fleet with two services
    When a keyed call encounters the fault "none"
    And the same key is sent with a different body
    Then the second call is refused with KEY_REUSED

  Scenario: the append of a claim is delayed past the deadline
    Given a fleet with two services
    When the append of the claim is delayed past the caller's deadline
    Then the booking ran at most 1 times
    And the caller's result matches the executions

  Scenario: a keyed call while the log is down is refused by its deadline
    Given a fleet with two services
    When a keyed call encounters the fault "log down"
    Then the call is refused with CLAIM_UNCONFIRMED and ran "no"
