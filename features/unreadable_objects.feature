Feature: An unreadable object of the store costs that object only

  # Guards against routers none of which gets ready after all were killed: a list that was cut off
  # inside its first object took the objects after it, and the revision of the page, into its value.
  Scenario Outline: A value that leaves brackets open
    Then no object and no revision of a listing is lost beside the value <text>

    Examples:
      | text                           |
      | [{"service":"backup"           |
      | [{"n":1                        |
      | [[{"n":[1                      |
      | {"a":{"b":1                    |
      | [{"a":1},{"b":2                |
      | "x                             |
      | "x\                            |
      | [{"n":1}]}],"has-more":true,"at":1 |
      | null}],"has-more":true,"at":1} |
