import { validateHeaderName, validateHeaderValue } from "node:http";

/** Whether Node.js would refuse to send one of the headers, given as alternating names and values; its parser is laxer. */
export function hasInvalidHeader(rawHeaders: readonly string[]): boolean {
  try {
    for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
      validateHeaderName(rawHeaders[i]!);
      validateHeaderValue(rawHeaders[i]!, rawHeaders[i + 1]!);
    }
    return false;
  } catch {
    return true;
  }
}
