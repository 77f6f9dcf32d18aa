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
      | null},{"metadata":{"name":"u1","revision":1},"spec":{},"status":null},{"metadata":{"name":"z","revision":1} |

  # Guards against work for an upstream that has left: a router that had started again took a copy of
  # its entry, which another writer's value held, for the entry.
  Scenario Outline: A value with a copy of the listing that was cut off anywhere
    Then of <what> beside a copy in "<name>" only the objects of the store are read

    Examples:
      | what      | name    |
      | a listing | a-copy  |
      | a listing | u1-copy |
      | a listing | z-copy  |
      | changes   | a-copy  |
      | changes   | u1-copy |
      | changes   | z-copy  |

  Scenario Outline: A value with a part of a copy of the listing
    Then of <what> beside 300 drawn parts of a copy only the objects of the store are read

    Examples:
      | what      |
      | a listing |
      | changes   |

  # Guards against the same where routers go on reading: an address, a revision or a removal that
  # stands inside a value was taken for one of the store.
  Scenario: Random histories of entries, some of which are unreadable
    Then in 150 drawn histories the upstreams in use are those of the store, as it was last read

  # Guards against routers that stand still: the search of a value of 1 MB for objects took longer the
  # more places it had to try, and each place that failed cost the length of the text before it.
  Scenario Outline: The work of reading a value is in proportion to its size
    Then a page and an event with a value of <kb> KB of <text> are read without going over them more than <times> times

    Examples:
      | kb  | text                                          | times |
      | 100 | {"spec":{"id":1,"up":True}},                  | 2     |
      | 100 | },{"spec":                                    | 2     |
      | 100 | {"status":ok}                                 | 2     |
      | 100 | {"deleted":true,                              | 2     |
      | 100 | },{"deleted":false,"object":                  | 2     |
      | 100 | {"metadata":{"name":"u1","revision":1},       | 2     |
      | 100 | "name":"u1",                                  | 2     |
      | 100 | {"name":"u1"},                                | 2     |
      | 100 | [                                             | 2     |
      | 100 | "                                             | 2     |
      | 100 | \"                                            | 2     |

  Scenario Outline: Calls that an unreadable object costs
    When <count> of 40 objects are unreadable and their metadata come <order>
    Then a listing takes at most <calls> calls, and a watch at most <watches>

    Examples:
      | count | order | calls | watches |
      | 0     | first | 1     | 1       |
      | 1     | first | 3     | 3       |
      | 10    | first | 21    | 21      |
      | 1     | last  | 10    | 2       |
      | 10    | last  | 82    | 2       |

  Scenario: A sound value with the metadata of other objects
    When a value has a copy of the whole listing
    Then the value is read, and so are all other objects

  # Guards against a watch that reads the same event again and again: its object shows a revision up to
  # which the watch has read.
  Scenario: A removal shows an unreadable object with the revision of its last change
    Given a watch that has read an unreadable object
    When the object is removed, and the removal shows the same revision
    Then the kind is listed once more, and the watch continues after the removal

  # Guards against a stand-in of the store that can't show what the platform's store may show, so that
  # no run beside it has such objects.
  Scenario: The stand-in of the store shows unreadable values over its protocol
    Given a stand-in of the store with unreadable values of all kinds among its upstreams
    When a router lists the upstreams, and watches while one of them is removed
    Then it knows the upstreams and the removal, and an unreadable object by its name
