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

  # Guards against work for an upstream that has left: a router that had started again took a copy of
  # its entry, which another writer's value held, for the entry.
  Scenario Outline: A value with a copy of the listing that was cut off anywhere
    Then of <what> beside a copy in "<name>" only the objects of the store are read

    Examples:
      | what      | name    |
      | a listing | a-copy  |
      | a listing | u1-copy |
      | a listing | z-copy  |

  Scenario Outline: A value with a part of a copy of the listing
    Then of <what> beside 300 drawn parts of a copy only the objects of the store are read

    Examples:
      | what      |
      | a listing |
