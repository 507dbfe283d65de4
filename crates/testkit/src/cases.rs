//! The macro for table-driven tests.

/// Defines one test for each case of a check function. The name of the check and the name of the
/// case form the name of the test.
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
