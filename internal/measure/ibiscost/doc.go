// Package ibiscost measures what a piece of code costs the whole process: processor time and live memory.
package ibiscost
