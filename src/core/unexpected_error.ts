import ModernError from "modern-errors";

/** An error that no code handles; expected failures are returned as results, not thrown. */
export const UnexpectedError = ModernError.subclass("UnexpectedError");

/** Log fields for any thrown value. */
export function unexpectedFields(
  cause: unknown,
): Readonly<{ cause: string; stack: string }> {
  const err = ModernError.normalize(cause, UnexpectedError);
  return { cause: err.message, stack: err.stack ?? "" };
}
