//! Amounts on the wire: floats of 11 significant bits in a `u16`, since a page is mostly amounts.

/// The greatest amount that one member or cell can state, in thousandths of a unit a second. It bounds what a false
/// statement does.
pub const MAX_AMOUNT: u64 = 1 << 40;

/// Bits of an amount after the leading one.
const FRACTION_BITS: u32 = 10;
/// Amounts below this are exact.
const LEADING_ONE: u64 = 1 << FRACTION_BITS;
const FRACTION_MASK: u16 = LEADING_ONE as u16 - 1;

/// Packs an amount, rounded down by less than 1/1024 of it.
pub fn pack_amount(amount: u64) -> u16 {
    let amount = amount.min(MAX_AMOUNT);
    if amount < LEADING_ONE {
        return amount as u16;
    }
    let shift = u64::BITS - 1 - FRACTION_BITS - amount.leading_zeros();
    (((shift + 1) << FRACTION_BITS) as u16) | ((amount >> shift) as u16 & FRACTION_MASK)
}

/// The amount that was packed; at most [`MAX_AMOUNT`], whatever the bits.
pub fn unpack_amount(packed: u16) -> u64 {
    let (exponent, fraction) = (u32::from(packed >> FRACTION_BITS), u64::from(packed & FRACTION_MASK));
    match exponent {
        0 => fraction,
        1..=31 => ((LEADING_ONE + fraction) << (exponent - 1)).min(MAX_AMOUNT),
        _ => MAX_AMOUNT,
    }
}
