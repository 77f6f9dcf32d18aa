Feature: Operators learn why requests were late or failed

  Scenario Outline: The log explains why a request was late or failed
    Given a log of 40 requests whose prompts idle engines read at 30 tokens per ms
    And one more request with <event>
    Then that request is explained as <cause>

    Examples:
      | event                                                               | cause                                 |
      | a refusal                                                           | refused by the router                 |
      | a broken stream                                                     | cut off by its upstream               |
      | a stream whose version is gone                                      | none of the version that began its stream |
      | a stream of unknown version                                         | none of the version that began its stream |
      | a response with status 500                                          | failed at its upstream                |
      | two attempts and a first event after 900 ms                         | tried more than once                  |
      | 64 of 64 slots in use and a first event after 900 ms                | its engine had all places taken       |
      | a prompt of 20000 tokens and a first event after 900 ms             | its own prompt is long                |
      | a backlog of 15000 tokens and a first event after 900 ms            | waited behind prompts that were known |
      | an engine that reads 5 tokens per ms and a first event after 900 ms | its engine was slow                   |
      | no backlog and a first event after 900 ms                           | waited behind what was not known      |

  Scenario: Requests that were answered in time are not explained
    Given a log of 40 requests whose prompts idle engines read at 30 tokens per ms
    Then no request is explained, and the table counts 40 requests
