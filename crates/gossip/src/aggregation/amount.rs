//! The wire format of amounts: floating-point numbers with 11 significant bits in a `u16`. Most of a page is
//! amounts, so they are kept short.

/// The greatest amount that one member or cell can report, in thousandths of a unit per second. The limit
/// bounds the effect of a false report.
pub const MAX_AMOUNT: u64 = 1 << 40;

/// The number of bits of an amount after the leading 1.
const FRACTION_BITS: u32 = 10;
/// The leading 1 of a fraction. Amounts below this are packed exactly.
const LEADING_ONE: u64 = 1 << FRACTION_BITS;
const FRACTION_MASK: u16 = LEADING_ONE as u16 - 1;

/// Packs an amount. It is capped at [`MAX_AMOUNT`], and rounded down by less than 1/1024 of its value.
pub fn pack_amount(amount: u64) -> u16 {
    let amount = amount.min(MAX_AMOUNT);
    if amount < LEADING_ONE {
        return amount as u16;
    }
    let shift = u64::BITS - 1 - FRACTION_BITS - amount.leading_zeros();
    (((shift + 1) << FRACTION_BITS) as u16) | ((amount >> shift) as u16 & FRACTION_MASK)
}

/// Unpacks an amount. Every bit pattern gives at most [`MAX_AMOUNT`].
pub fn unpack_amount(packed: u16) -> u64 {
    let (exponent, fraction) = (u32::from(packed >> FRACTION_BITS), u64::from(packed & FRACTION_MASK));
    match exponent {
        0 => fraction,
        1..=31 => ((LEADING_ONE + fraction) << (exponent - 1)).min(MAX_AMOUNT),
        _ => MAX_AMOUNT,
    }
}
