Feature: Experiments are checked and come out alike for one seed

  Scenario: All findings of an experiment file come together
    When this experiment is checked
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
    Then the experiment's findings name
      | text                       |
      | seconds = soon             |
      | work: one of interactive   |
      | tokens_max is below        |
      | kind: one of               |
      | the stand-in has booking   |

  Scenario: The experiments that come with the project are good
    Then "kalnins" and "wadi-noor" have no findings

  Scenario: The same seed gives the same arrivals and faults
    Then seed 7 gives one digest twice, and seed 8 another

  Scenario: Every kind of fault is on a soak's timetable
    Then seeds 1 to 20 have each kind of fault at least once

  Scenario Outline: Engine crashes caused by a blocked request are limited
    # Guards against soaks that pass although blocked requests are sent.
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

  Scenario Outline: Requests to an engine that states a limit are limited
    # Guards against soaks that pass although limits are exceeded.
    Given an engine that states a limit of 1 request per second from 0 to 10000 ms
    When it receives <count> requests from <first> ms, <interval> ms apart
    And all routers are killed at <killed> ms
    Then its limit is <outcome>

    Examples:
      | count | first | interval | killed | outcome   |
      | 11    | 4000  | 100      | -9000  | respected |
      | 12    | 4000  | 100      | -9000  | exceeded  |
      | 12    | 4000  | 400      | -9000  | respected |
      | 30    | 0     | 90       | -9000  | respected |
      | 30    | 10001 | 10       | -9000  | respected |
      | 12    | 4000  | 100      | 3000   | respected |
      | 12    | 4000  | 100      | -2100  | exceeded  |
