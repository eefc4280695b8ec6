// Package tuning holds every constant of the service, each with its unit and
// the reason for its value. Nothing here repeats a figure of one deployment;
// those come with the settings file.
package tuning
