Feature: Operators are told why requests were late or lost

  Scenario Outline: Each loss has a cause that the log bears out
    Given a log of 40 requests that idle engines read at 30 tokens a ms
    And one more request with <what>
    Then it is explained as <cause>

    Examples:
      | what                                                           | cause                                |
      | a refusal                                                      | refused by the router                |
      | a stream that broke                                            | cut off by its upstream              |
      | an answer of 500                                               | failed at its upstream               |
      | two attempts and a first event after 900 ms                    | tried more than once                 |
      | 64 of 64 places taken and a first event after 900 ms           | its engine had all places taken      |
      | 20000 tokens of its own and a first event after 900 ms         | its own prompt is long               |
      | 15000 tokens before it and a first event after 900 ms          | waited behind prompts that were known |
      | an engine that reads 5 tokens a ms and a first event after 900 ms | its engine was slow               |
      | nothing before it and a first event after 900 ms               | waited behind what was not known     |

  Scenario: What was in time needs no explanation
    Given a log of 40 requests that idle engines read at 30 tokens a ms
    Then nothing is explained, and the table says 40 requests
