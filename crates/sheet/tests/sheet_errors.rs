//! Exact error texts of invalid sheets.

use std::fmt::Write;

use sheet::{MAX_ERRORS, MAX_ROWS, MAX_SHEET_BYTES, Sheet};

const HASH: &str = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";
const TARGETS: &str = "kind,name,pool,zone,address,state,capacity,cold_limit,speed,fencing,revision\n\
                       sheet,T,,,,,,,,,1\nzone,a,,,,in,,,,,\npool,p,,,,engine,,,,,\n";
const ROUTES: &str = "kind,name,state,pool,access,idempotent,max_body,max_tokens,deadline,tier,revision\n\
                      sheet,T,,,,,,,,,1\npool,p,engine,,,,,,,,\ntier,t\n";
const KEYS: &str = "kind,name,workspace,tier,state,sha256,rate,burst,revision\n\
                    sheet,T,,,,,,,1\ntier,t\nworkspace,w,,,,,1,1\n";

fn errors(csv: impl AsRef<[u8]>) -> Vec<String> {
    let errors = Sheet::parse(csv.as_ref()).expect_err("the sheet is invalid");
    errors.iter().map(ToString::to_string).collect()
}

#[track_caller]
fn check(start: &str, cases: &[(&str, &[&str])]) {
    for (rows, expected) in cases {
        assert_eq!(errors(format!("{start}{rows}")), *expected, "{rows:?}");
    }
}

/// Guards against damaged exports that are accepted with another meaning.
#[test]
fn table_errors() {
    check(
        "",
        &[
            (
                "",
                &["sheet: has no rows; write a header row with the column names first"],
            ),
            (
                "\n\r\n;;\n",
                &["sheet: has no rows; write a header row with the column names first"],
            ),
            (
                "name\n",
                &["row 1, column kind: is missing in the header; add it"],
            ),
            (
                "kind,name,colour,Kind\n",
                &[
                    "row 1, column colour: is not a known column; remove it or use one of kind, \
                     name, workspace, pool, zone, address, tier, rate, burst, state, access, \
                     idempotent, max_body, max_tokens, deadline, capacity, cold_limit, speed, \
                     fencing, sha256, revision",
                    "row 1, column kind: is in the header twice; remove one",
                ],
            ),
            (
                "kind,name,revision,\nsheet,T,1,x\n",
                &[
                    "row 2: \"x\" is in a column without a header; clear the cell or name the column",
                ],
            ),
            (
                "\n\nkind,name\n\nzone,\"a\ntier,t\n",
                &[
                    "sheet: has no row of kind sheet; add one with the title and the revision",
                    "row 5, column name: contains a line break; remove it, or close the quote that \
                     was left open",
                ],
            ),
            (
                "kind,name\nrobot,x\n",
                &[
                    "sheet: has no row of kind sheet; add one with the title and the revision",
                    "row 2, column kind: \"robot\" is not a kind; use one of sheet, zone, tier, \
                     workspace, key, pool, target, route",
                ],
            ),
        ],
    );
    assert_eq!(
        errors(b"kind,name\r\nzone,r\xeega\r\n"),
        ["row 2: is not UTF-8 text; save the sheet as CSV in UTF-8"]
    );
}

/// Guards against partial acceptance of a sheet whose rows contradict each other.
#[test]
fn row_errors() {
    check(
        "kind,name,state,rate,burst,revision\n",
        &[
            (
                "sheet,T,,,,0\n",
                &["row 2, column revision: is zero; write a value above 0"],
            ),
            (
                "sheet,,,,,1\n",
                &["row 2, column name: is empty; a sheet row needs a value"],
            ),
            (
                "sheet,T,,,,1\nsheet,U,,,,2\n",
                &["row 3: is a second row of kind sheet after row 2; remove one"],
            ),
            (
                "sheet,T,,,,1\nzone,a,in\nzone,a,out\n",
                &["row 4, column name: zone \"a\" is already in row 3; rename or remove one"],
            ),
            (
                "sheet,T,,,,1\nzone,a,on\n",
                &["row 3, column state: \"on\" is not one of in, out; use one of these"],
            ),
            (
                "sheet,T,,,,1\nzone,a b,in,5\n",
                &[
                    "row 3, column rate: is not used by a zone row; clear the cell",
                    "row 3, column name: \"a b\" is not a name; use up to 64 ASCII letters, digits, \
                     \"-\", \"_\" and \".\"",
                ],
            ),
            (
                "sheet,T,,,,1\nworkspace,w,,0,x\n",
                &[
                    "row 3, column rate: is zero; write a value above 0",
                    "row 3, column burst: \"x\" is not a whole number; write digits only",
                ],
            ),
            (
                "sheet,T,,,,1\nworkspace,w,,2000000000000,\"1,000\"\n",
                &[
                    "row 3, column rate: \"2000000000000\" is above 1000000000000; write a smaller \
                     number",
                    "row 3, column burst: \"1,000\" is written with a comma; in sheets with commas \
                     between cells write a decimal point and no thousands separator",
                ],
            ),
            (
                "sheet,T,,,,1\ntier,a\ntier,b\ntier,c\ntier,d\ntier,e\ntier,f\ntier,g\ntier,h\ntier,i\n",
                &["row 11: is beyond the limit of 8 tiers; remove the row"],
            ),
        ],
    );
    check(
        "kind;name;rate;burst;revision\nsheet;T;;;1\n",
        &[(
            "workspace;w;1.5;1.0000\n",
            &[
                "row 3, column rate: \"1.5\" is not a number with a decimal comma; in sheets with \
                 semicolons between cells write for example 1,5 or 1.000,5",
                "row 3, column burst: \"1.0000\" is not a number with a decimal comma; in sheets \
                 with semicolons between cells write for example 1,5 or 1.000,5",
            ],
        )],
    );
}

/// Guards against unusable keys, and against a plain-text key in an error text.
#[test]
fn key_errors() {
    check(
        KEYS,
        &[
            (
                "key,k,x,y,active,secret\n",
                &[
                    "row 5, column workspace: no workspace is named \"x\"; correct the name or add \
                     a workspace row",
                    "row 5, column tier: no tier is named \"y\"; correct the name or add a tier row",
                    "row 5, column sha256: is not 64 hex digits; write the SHA-256 of the key and \
                     never the key itself",
                ],
            ),
            (
                &format!("key,k,w,t,active,{HASH}\nkey,l,w,t,gone,{HASH}\n"),
                &[
                    "row 6, column state: \"gone\" is not one of active, withdrawn; use one of these",
                    "row 6, column sha256: is the hash of the key in row 5; issue another key",
                ],
            ),
        ],
    );
}

/// Guards against targets with unusable addresses, and against two targets with the same address.
#[test]
fn target_errors() {
    check(
        TARGETS,
        &[
            (
                "target,x,q,b,engine-1:80,in,1,1,1,yes\n",
                &[
                    "row 5, column pool: no pool is named \"q\"; correct the name or add a pool row",
                    "row 5, column zone: no zone is named \"b\"; correct the name or add a zone row",
                    "row 5, column address: \"engine-1:80\" is not an IP address with a port; write \
                     for example 10.0.0.7:8000",
                ],
            ),
            (
                "target,x,p,a,10.0.0.1:0,out,0,0,0,maybe\n",
                &[
                    "row 5, column address: \"10.0.0.1:0\" is not an IP address with a port; write \
                     for example 10.0.0.7:8000",
                    "row 5, column state: \"out\" is not one of in, leaving; use one of these",
                    "row 5, column capacity: is zero; write a value above 0",
                    "row 5, column cold_limit: is zero; write a value above 0",
                    "row 5, column speed: is zero; write a value above 0",
                    "row 5, column fencing: \"maybe\" is not one of yes, no; use one of these",
                ],
            ),
            (
                "target,x,p,a,10.0.0.1:80,in,1,1,nan,no\ntarget,y,p,a,10.0.0.1:80,in,1,1,1250,no\n",
                &[
                    "row 5, column speed: \"nan\" is not a number; write for example 1 or 2.5",
                    "row 6, column speed: \"1250\" is not from 0.01 to 100; correct it",
                    "row 6, column address: 10.0.0.1:80 is already the address in row 5; correct one \
                     of them",
                ],
            ),
        ],
    );
}

/// Guards against values without units, and against routes that shadow the daemon's own paths.
#[test]
fn route_errors() {
    check(
        ROUTES,
        &[
            (
                "route,/a,,p,any,yes,64,1,410,t\n",
                &[
                    "row 5, column access: \"any\" is not one of open, keyed; use one of these",
                    "row 5, column max_body: \"64\" is not a size; write a number and a unit, for \
                     example 64KiB or 2MB",
                    "row 5, column deadline: \"410\" is not a duration; write a number and a unit, \
                     for example 410ms or 5s",
                ],
            ),
            (
                "route,/a/,,p,open,yes,2GiB,1,25h,t\nroute,/v1/streams/x,,p,open,yes,0B,1,1us,t\n",
                &[
                    "row 5, column name: \"/a/\" is not a path prefix; write for example \
                     /v1/completions, without a slash at the end, escapes or a query",
                    "row 5, column max_body: \"2GiB\" is above 1GiB; write a smaller size",
                    "row 5, column deadline: \"25h\" is longer than 24h; write a shorter duration",
                    "row 6, column name: \"/v1/streams/x\" is reserved for the daemon itself; use \
                     another path",
                    "row 6, column max_body: is zero; write a value above 0",
                    "row 6, column deadline: \"1us\" is finer than 1ms; write whole milliseconds",
                ],
            ),
        ],
    );
}

/// Guards against inputs that need unbounded memory or produce unbounded logs.
#[test]
fn input_and_error_list_are_limited() {
    assert_eq!(
        errors(vec![b' '; MAX_SHEET_BYTES + 1]),
        ["sheet: has 1000001 bytes, more than 1000000; remove rows or split the site"]
    );
    let rows = "tier,t\n".repeat(MAX_ROWS + 1);
    assert_eq!(
        errors(format!("kind,name\n{rows}")),
        ["sheet: has more than 20000 rows; remove rows or split the site"]
    );
    let rows = "zone,z,in\n".repeat(MAX_ERRORS + 8);
    let errors = errors(format!("kind,name,state,revision\nsheet,T,,1\n{rows}"));
    assert_eq!(errors.len(), MAX_ERRORS + 1);
    assert_eq!(
        errors[MAX_ERRORS],
        "sheet: has 7 more errors; correct these first"
    );
    let mut zones = String::from("kind,name,state,revision\nsheet,T,,1\n");
    for i in 0..19_000 {
        writeln!(zones, "zone,z{i:040},in").unwrap();
    }
    assert!(zones.len() < MAX_SHEET_BYTES);
    assert_eq!(
        self::errors(zones),
        [
            "sheet: has 1083185 bytes in canonical form, more than 1000000; remove rows or split the \
          site"
        ]
    );
}
