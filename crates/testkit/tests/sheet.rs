//! The sheet builder.

use testkit::SheetBuilder;

#[test]
fn key_is_written_as_its_hash_and_rows_keep_their_order() {
    // Guards against plaintext keys in a sheet, and against changes that reorder rows and so the
    // ranks of tiers.
    let mut sheet = SheetBuilder::new("site, with comma");
    sheet
        .tier("quick")
        .tier("long")
        .key("k1", "w1", "quick", "abc");

    sheet.withdraw_key("k1").increment_revision();

    let csv = sheet.csv();
    let lines: Vec<&str> = csv.lines().collect();
    assert!(lines[1].starts_with("sheet,\"site, with comma\","));
    assert!(lines[1].ends_with(",2"));
    assert!(lines[2].starts_with("tier,quick,"));
    assert!(lines[3].starts_with("tier,long,"));
    assert!(lines[4].contains("withdrawn"));
    // Published SHA-256 test vector of "abc".
    let hash = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    assert!(lines[4].contains(hash));
    assert!(!csv.contains("abc,"));
}
