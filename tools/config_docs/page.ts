import { DAEMON_SECTIONS } from "../../src/config/daemon_settings.ts";
import { SERVING_SECTIONS } from "../../src/config/serving_sections.ts";
import { renderSections, replacePart } from "./render.ts";

/** Returns the configuration page with its tables made anew from the declarations. */
export function renewPage(page: string): string {
  const folder = renderSections(SERVING_SECTIONS);
  const daemon = renderSections(DAEMON_SECTIONS);
  return replacePart(replacePart(page, "folder", { text: folder }), "daemon", {
    text: daemon,
  });
}
