Feature: Experiment files are checked, and schedules are reproducible

  Scenario: All findings of an experiment file are reported at once
    When this experiment file is checked
      """
      [run]
      seconds = soon
      [workload counter]
      rate = 5
      work = urgent
      tokens_min = 9
      tokens_max = 3
      [fault first]
      kind = meteor
      at = 1
      [workload tags]
      service = toaster
      rate = 1
      """
    Then the findings of the experiment file contain
      | text                               |
      | seconds = soon                     |
      | work: must be one of interactive   |
      | tokens_max is below                |
      | kind: must be one of               |
      | the stand-ins provide only booking |

  Scenario: The bundled experiment files are valid
    Then the experiment files "kalnins" and "wadi-noor" have no findings

  Scenario: The same seed gives the same arrivals and faults
    Then seed 7 gives the same digest twice, and seed 8 a different one

  Scenario: The schedule of a soak contains all kinds of faults
    Then the schedules of seeds 1 to 20 contain each kind of fault

  Scenario Outline: An error's text or an early end is a wrong answer
    # Guards against soaks that pass although errors get into streams.
    When callers receive <part> of a stream, then <what>
    Then the soak counts <count> wrong answers

    Examples:
      | part | what                        | count |
      | all  | its end                     | 0     |
      | half | its end                     | 1     |
      | half | a break                     | 0     |
      | half | an error's text and a break | 1     |
      | half | a break and a whole retry   | 0     |
      | half | an error's text and a retry | 1     |

  Scenario Outline: An engine answers requests to resume streams with errors
    Given a stand-in engine with the fault "<fault>"
    When a stream is requested from event <position>
    Then it answers <status> of type <type>, with <text> of an error in its body

    Examples:
      | fault           | position | status | type              | text         |
      | resume_404      | 2        | 404    | text/plain        | the text     |
      | resume_json     | 2        | 200    | application/json  | the text     |
      | resume_empty    | 2        | 200    | text/event-stream | nothing      |
      | resume_404      | none     | 200    | text/event-stream | nothing      |
      | error_in_stream | none     | 200    | text/event-stream | the head     |
      | error_in_stream | 2        | 200    | text/event-stream | the head     |

  Scenario Outline: Engine crashes caused by a blocked request are limited
    # Guards against soaks that pass although routers send blocked requests.
    When one request crashes engines at <crashes> ms, and routers start at <starts> ms
    Then <count> crashes exceed the limit

    Examples:
      | crashes                                     | starts   | count |
      | 0 100 200                                   | 500      | 0     |
      | 0 100 200 400 600 1200                      | 500      | 0     |
      | 0 100 200 1300 1400 1500                    | 500      | 0     |
      | 0 100 200 1300 1400 1500 1600 1700          | 500      | 2     |
      | 0 100 200 1300 1400 1500 1600 1700          | 500 1250 | 1     |
      | 1700 0 1600 100 1500 200 1400 1300          | 500      | 2     |

  Scenario Outline: Requests to an engine that advertises a limit are limited
    # Guards against soaks that pass although routers exceed limits.
    Given an engine that advertises a limit of 1 request per second from 0 to 10000 ms
    When the engine receives <count> requests from <first> ms, <interval> ms apart
    And all routers are killed at <killed> ms
    Then the engine's limit is <outcome>

    Examples:
      | count | first | interval | killed | outcome   |
      | 11    | 4000  | 100      | -9000  | respected |
      | 12    | 4000  | 100      | -9000  | exceeded  |
      | 12    | 4000  | 400      | -9000  | respected |
      | 30    | 0     | 90       | -9000  | respected |
      | 30    | 10001 | 10       | -9000  | respected |
      | 12    | 4000  | 100      | 3000   | respected |
      | 12    | 4000  | 100      | -2100  | exceeded  |
