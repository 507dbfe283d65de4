//! The macro that names each case of a check.

/// Makes one test of each named case of a check.
///
/// ```
/// fn doubles(input: u32, output: u32) {
///     assert_eq!(input * 2, output);
/// }
///
/// coltsfootshunt_testkit::cases! { doubles:
///     zero(0, 0);
///     one(1, 2);
/// }
/// ```
#[macro_export]
macro_rules! cases {
    ($check:ident: $($name:ident($($argument:expr),* $(,)?);)*) => {
        mod $check {
            use super::*;

            $(
                #[$crate::rstest::rstest]
                fn $name() {
                    super::$check($($argument),*);
                }
            )*
        }
    };
}
