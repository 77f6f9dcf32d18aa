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
