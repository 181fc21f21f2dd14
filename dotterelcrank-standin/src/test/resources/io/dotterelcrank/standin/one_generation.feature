Feature: Each token reaches the caller once, in order, from one generation

  Scenario Outline: <fault> during a <mode> generation
    Given a fleet with two engines and two entry hosts
    When a <mode> generation of 200 tokens encounters the fault "<fault>"
    Then the caller receives <outcome>
    And no engine has an unfinished generation

    Examples:
      | mode     | fault                                   | outcome            |
      | streamed | none                                    | the whole response |
      | streamed | link cut                                | the whole response |
      | streamed | link cut twice                          | the whole response |
      | streamed | link cut before the first token         | the whole response |
      | streamed | link stalled                            | the whole response |
      | streamed | old frames arrive after the new session | the whole response |
      | streamed | engine streams cut                      | the whole response |
      | streamed | engine dies before the first token      | the whole response |
      | streamed | engine dies after tokens                | GENERATION_LOST    |
      | streamed | sidecar replaced                        | the whole response |
      | streamed | sidecar killed                          | GENERATION_LOST    |
      | streamed | end lost between sidecar and entry      | the whole response |
      | buffered | none                                    | the whole response |
      | buffered | link cut                                | the whole response |
      | buffered | link stalled                            | the whole response |
      | buffered | old frames arrive after the new session | the whole response |
      | buffered | engine streams cut                      | the whole response |
      | buffered | engine dies before the first token      | the whole response |
      | buffered | engine dies after tokens                | the whole response |
      | buffered | sidecar replaced                        | the whole response |
      | buffered | sidecar killed                          | the whole response |
      | buffered | end lost between sidecar and entry      | the whole response |

  Scenario: a caller reconnects to another entry host after its own died
    Given a fleet with two engines and two entry hosts
    When the caller's entry host dies after some tokens
    And the caller reconnects to the other entry host with the last event id
    Then both parts together are the whole response

  Scenario: a caller of another workspace cannot resume a generation
    Given a fleet with two engines and two entry hosts
    When another workspace sends the last event id of a running generation
    Then it is refused with GENERATION_UNKNOWN

  Scenario: a caller of another workspace cannot resume a generation after the sidecar was replaced
    Given a fleet with two engines and two entry hosts
    When another workspace sends the last event id after the sidecar was replaced
    Then it is refused with GENERATION_UNKNOWN

  Scenario: a generation is cancelled when its caller disconnects
    Given a fleet with two engines and two entry hosts
    When the caller disconnects after some tokens
    Then no engine has an unfinished generation after 5 seconds

  Scenario Outline: a caller that disconnected reconnects to <host>
    Given a fleet with two engines and two entry hosts
    When the caller disconnects after some tokens
    And the caller reconnects to "<host>" before the generation is cancelled
    Then both parts together are the whole response

    Examples:
      | host    |
      | entry-a |
      | entry-b |

  Scenario Outline: a caller reconnects to <host> before its old connection closes
    Given a fleet with two engines and two entry hosts
    When the caller reads some tokens
    And the caller reconnects to "<host>" just before its old connection closes
    Then both parts together are the whole response

    Examples:
      | host    |
      | entry-a |
      | entry-b |

  Scenario: a caller reconnects and the deadline of its old connection passes
    Given a fleet with two engines and two entry hosts
    When the caller reads some tokens 4 seconds before its deadline
    And the caller reconnects to "entry-a" while its old connection stays open
    Then both parts together are the whole response

  Scenario: a model is not reported as unknown before its targets are listed
    Given an entry host whose host list contains no target yet
    When a generation is requested at once
    Then it is refused as NOT_READY with a retry time
    And the entry host is not ready

  Scenario: a generation whose entry host died is cancelled when its caller does not reconnect
    Given a fleet with two engines and two entry hosts
    When the caller's entry host dies after some tokens
    Then no engine has an unfinished generation after 40 seconds

  Scenario: a generation whose targets were never reached did not run
    Given a fleet with two engines and two entry hosts
    When a generation is requested after both sidecars have died
    Then the failure reports that the generation did not run
