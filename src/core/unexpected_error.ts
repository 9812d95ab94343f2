import ModernError from "modern-errors";

/** An error that no code foresees; whatever is foreseen is data, not thrown. */
export const UnexpectedError = ModernError.subclass("UnexpectedError");

/** What a log line says of anything that was thrown. */
export function unexpectedFields(
  cause: unknown,
): Readonly<{ cause: string; stack: string }> {
  const err = ModernError.normalize(cause, UnexpectedError);
  return { cause: err.message, stack: err.stack ?? "" };
}
