//! Tests that packed amounts are rounded down, and that every bit pattern unpacks to a bounded amount.

use proptest::prelude::{prop_assert, proptest, ProptestConfig};
use shaletack_gossip::aggregation::{pack_amount, unpack_amount, MAX_AMOUNT};

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    #[test]
    fn amounts_are_rounded_down_by_less_than_one_in_1024(
        amount: u64,
        other: u64,
        bits: u16,
        shift in 0_u32..64,
    ) {
        let amount = amount >> shift;
        let unpacked = unpack_amount(pack_amount(amount));
        let expected = amount.min(MAX_AMOUNT);
        prop_assert!(unpacked <= expected && expected - unpacked <= expected / 1024, "{amount} {unpacked}");
        prop_assert!(amount >= 1024 || unpacked == amount);
        prop_assert!(unpack_amount(bits) <= MAX_AMOUNT);
        prop_assert!((pack_amount(amount) <= pack_amount(other)) || amount > other);
    }
}

#[test]
fn no_bit_pattern_unpacks_to_more_than_the_maximum_amount() {
    let amounts: Vec<u64> = (0..=u16::MAX).map(unpack_amount).collect();
    assert!(amounts.is_sorted());
    assert_eq!(amounts.last(), Some(&MAX_AMOUNT));
    assert!(amounts.iter().all(|amount| unpack_amount(pack_amount(*amount)) == *amount));
}
