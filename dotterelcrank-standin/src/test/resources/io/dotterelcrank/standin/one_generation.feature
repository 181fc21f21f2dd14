Feature: Each token reaches the caller once, in order, from one generation

  Scenario Outline: <fault> during a <mode> generation
    Given a fleet with two engines and two entry hosts
    When a <mode> generation of 200 tokens meets the fault "<fault>"
    Then the caller hears <outcome>
    And no engine keeps a generation

    Examples:
      | mode     | fault                                  | outcome         |
      | streamed | none                                   | the whole answer|
      | streamed | link cut                               | the whole answer|
      | streamed | link cut twice                         | the whole answer|
      | streamed | link cut before the first token        | the whole answer|
      | streamed | link stalled                           | the whole answer|
      | streamed | old frames arrive after the new session| the whole answer|
      | streamed | engine streams cut                     | the whole answer|
      | streamed | engine dies before the first token     | the whole answer|
      | streamed | engine dies after tokens               | GENERATION_LOST |
      | streamed | sidecar replaced                       | the whole answer|
      | streamed | sidecar gone                           | GENERATION_LOST |
      | streamed | end lost between sidecar and entry     | the whole answer|
      | buffered | none                                   | the whole answer|
      | buffered | link cut                               | the whole answer|
      | buffered | link stalled                           | the whole answer|
      | buffered | old frames arrive after the new session| the whole answer|
      | buffered | engine streams cut                     | the whole answer|
      | buffered | engine dies before the first token     | the whole answer|
      | buffered | engine dies after tokens               | the whole answer|
      | buffered | sidecar replaced                       | the whole answer|
      | buffered | sidecar gone                           | the whole answer|
      | buffered | end lost between sidecar and entry     | the whole answer|

  Scenario: a caller goes on at another entry host after its own died
    Given a fleet with two engines and two entry hosts
    When the caller's entry host dies after some tokens
    And the caller reconnects at the other entry host with the last event id
    Then both parts together are the whole answer

  Scenario: a caller of another workspace cannot resume a generation
    Given a fleet with two engines and two entry hosts
    When another workspace sends the last event id of a running generation
    Then it is refused with GENERATION_UNKNOWN

  Scenario: nor after the sidecar was replaced
    Given a fleet with two engines and two entry hosts
    When another workspace sends the last event id after the sidecar was replaced
    Then it is refused with GENERATION_UNKNOWN

  Scenario: a caller that goes away frees the engine
    Given a fleet with two engines and two entry hosts
    When the caller goes away after some tokens
    Then no engine keeps a generation within 5 seconds

  Scenario Outline: a caller that breaks off comes back at <host>
    Given a fleet with two engines and two entry hosts
    When the caller goes away after some tokens
    And the caller comes back at "<host>" within the time to reconnect
    Then both parts together are the whole answer

    Examples:
      | host    |
      | entry-a |
      | entry-b |

  Scenario Outline: a caller comes back at <host> before its old connection closes
    Given a fleet with two engines and two entry hosts
    When the caller reads some tokens
    And the caller comes back at "<host>" while its old connection closes
    Then both parts together are the whole answer

    Examples:
      | host    |
      | entry-a |
      | entry-b |

  Scenario: a caller comes back and its old connection's deadline passes
    Given a fleet with two engines and two entry hosts
    When the caller reads some tokens with 4 seconds left
    And the caller comes back at "entry-a" while its old connection stays open
    Then both parts together are the whole answer

  Scenario: a model whose targets are not listed yet is not unknown
    Given an entry host whose host list names no target yet
    When a generation is asked for at once
    Then it is refused for now, with a time to come back
    And the entry host is not ready

  Scenario: a generation whose entry host died is cancelled when nobody returns
    Given a fleet with two engines and two entry hosts
    When the caller's entry host dies after some tokens
    Then no engine keeps a generation within 40 seconds

  Scenario: a generation whose targets were never reached did not run
    Given a fleet with two engines and two entry hosts
    When a generation is asked for after both sidecars have died
    Then the caller hears that it did not run
